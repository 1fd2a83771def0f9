#ifndef RADISHRELAY_SESSIONS_DETAIL_FLEET_MEMBERS_H
#define RADISHRELAY_SESSIONS_DETAIL_FLEET_MEMBERS_H

#include "radishrelay/accounts/lending_limiter.h"
#include "radishrelay/base/random_generator.h"
#include "radishrelay/sessions/catalog.h"
#include "radishrelay/sessions/detail/fleet_size.h"
#include "radishrelay/sessions/detail/peer_message.h"
#include "radishrelay/sessions/detail/store_calls.h"
#include "radishrelay/sessions/engine_options.h"
#include "radishrelay/sessions/event_log.h"

#include <set>

namespace radishrelay::sessions::detail {

/// The hosts of the fleet, as the store's table of members tells, and this
/// host's part of the limits of all accounts.
///
/// A host renews its row while it can. Others count a row until it has not
/// changed for MemberLifetime; the host itself stops using its share earlier,
/// after ShareLifetime, so that shares never sum to more than the whole. A
/// member that is new waits until the others have seen its row.
class fleet_members {
public:
  fleet_members(const engine_options &Options, store_calls &Store,
                coordination_port &Port, event_log &Log);

  void setCatalog(const catalog_ptr &Catalog, base::time_point Now);
  void advance(base::time_point Now);
  [[nodiscard]] base::time_point nextWake() const { return NextRenewalAt; }
  /// Takes messages about tokens.
  void receive(const token_wish &Wish, const std::string &ReplyTo,
               base::time_point Now);
  void receive(const token_gift &Gift, base::time_point Now);
  void send(const peer_message &Message, const std::string &Address);
  /// Addresses of other hosts in this failure domain.
  [[nodiscard]] std::vector<std::string> neighbours() const;

  /// Takes one operation of \p Account out of its limit.
  bool admit(const base::account_id &Account, base::time_point Now);
  /// When a token of the own share accrues.
  [[nodiscard]] base::time_point
  nextTokenAt(const base::account_id &Account) const {
    return Limiter.nextTokenAt(Account);
  }
  /// Number of hosts, this one included.
  [[nodiscard]] std::size_t size() const;
  [[nodiscard]] fleet_size sizeFor(const base::group_id &Group) const;
  /// True once tokens were received since the last call.
  bool takeTokensArrived();
  [[nodiscard]] base::json dump() const;

private:
  struct member {
    base::row_version Version = 0;
    base::time_point SeenAt;
    std::string Domain;
    std::string Address;
  };

  void renew(base::time_point Now);
  void onRenewed(const base::store_answer &Answer, base::time_point Now);
  void onRead(const base::store_answer &Answer, base::time_point Now);
  void removeLapsed(base::time_point Now);
  void updateShare(base::time_point Now);
  void askForTokens(base::time_point Now);
  [[nodiscard]] const std::string *nextLender();

  engine_options Options;
  store_calls &Store;
  coordination_port &Port;
  event_log &Log;
  base::random_generator Random;
  accounts::lending_limiter Limiter;
  std::map<base::account_id, accounts::account_limits> Limits;
  std::map<std::string, member> Members;
  base::time_point NextRenewalAt;
  base::time_point RenewalSentAt;
  bool IsRenewing = false;
  bool HasRead = false;
  /// When the own row was last renewed; the time at which that was asked for.
  std::optional<base::time_point> RenewedAt;
  base::time_point ShareFrom;
  accounts::millionths Part = 0;
  bool DidTokensArrive = false;
  std::size_t LenderIndex = 0;
};

} // namespace radishrelay::sessions::detail

#endif
