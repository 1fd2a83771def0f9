#ifndef RADISHRELAY_SESSIONS_DETAIL_FLEET_LIMITS_H
#define RADISHRELAY_SESSIONS_DETAIL_FLEET_LIMITS_H

#include "radishrelay/accounts/lending_limiter.h"
#include "radishrelay/sessions/catalog.h"
#include "radishrelay/sessions/detail/fleet_members.h"
#include "radishrelay/sessions/detail/token_borrower.h"

#include <set>

namespace radishrelay::sessions::detail {

/// Admits operations within the limits of their accounts across all hosts. Some
/// hosts, the owners, hold equal shares of an account's limits; the other hosts
/// borrow tokens from the owners for each operation.
class fleet_limits {
public:
  fleet_limits(const engine_options &Options, fleet_members &Members,
               event_log &Log);

  void setCatalog(const catalog_ptr &NewCatalog, base::time_point Now);
  /// Sets further limits beside those of the client accounts, which hold in
  /// each second.
  void
  setOtherLimits(std::map<base::account_id, accounts::account_limits> NewLimits,
                 base::time_point Now);
  void advance(base::time_point Now);
  [[nodiscard]] base::time_point nextWake() const {
    return Borrower.nextDeadline();
  }

  void recordDemand(const base::account_id &Account, base::time_point Now) {
    Limiter.recordDemand(Account, Now);
  }
  /// Takes one token for an operation of \p Account; false if this host has
  /// none.
  bool admit(const base::account_id &Account, base::time_point Now) {
    return Limiter.take(Account, Now);
  }
  /// Whether admit would succeed.
  [[nodiscard]] bool hasToken(const base::account_id &Account,
                              base::time_point Now) {
    return Limiter.hasToken(Account, Now);
  }
  /// Requests tokens for \p Waiting operations from the owners of the limits of
  /// \p Account, unless a request is already in progress.
  void borrow(const base::account_id &Account, std::int64_t Waiting,
              base::time_point Now);
  /// Whether a round of token requests that started at \p Since or later found
  /// no token on any owner.
  [[nodiscard]] bool isExhausted(const base::account_id &Account,
                                 base::time_point Since) const {
    return Borrower.isExhausted(Account, Since);
  }
  /// When the share of this host yields its next token.
  [[nodiscard]] base::time_point
  nextTokenAt(const base::account_id &Account) const {
    return Limiter.nextTokenAt(Account);
  }

  void receive(const token_request &Request, const std::string &ReplyTo,
               base::time_point Now);
  void receive(const token_grant &Grant, const std::string &Lender,
               base::time_point Now);
  /// Returns true if tokens arrived or a round of requests failed since the
  /// last call, so that waiting operations may be admitted or refused.
  bool takeUpdate();
  [[nodiscard]] base::json dump() const;

private:
  /// Recalculates shares and lenders after a change of limits or hosts.
  void distribute(base::time_point Now);
  [[nodiscard]] std::vector<std::string>
  lenders(const hosts_by_domain &Owners) const;
  void distribute(const accounts::account_limits &Limits,
                  const hosts_by_domain &Hosts, bool HasStrictLoans);
  void ask(const base::account_id &Account, const std::string &Lender,
           std::int64_t Waiting, base::time_point Now);
  /// Whether a grant answers a request of this host for the first time.
  bool takeRequest(const base::account_id &Account, base::time_point AskedAt);

  engine_options Options;
  fleet_members &Members;
  event_log &Log;
  accounts::lending_limiter Limiter;
  token_borrower Borrower;
  catalog_ptr Catalog;
  /// Addresses of the owners of each account's limits, in the order in which
  /// they are asked.
  std::map<base::account_id, std::vector<std::string>> Lenders;
  std::map<base::account_id, accounts::account_share> Shares;
  std::map<base::account_id, accounts::account_limits> OtherLimits;
  /// Send times of the requests that were not granted yet, by account. A grant
  /// may arrive twice.
  std::map<base::account_id, std::set<base::time_point>> OpenRequests;
  /// Version of the hosts for which the shares were calculated.
  std::uint64_t HostsVersion = 0;
  bool IsShareHeld = false;
  bool HasReceivedTokens = false;
};

} // namespace radishrelay::sessions::detail

#endif
