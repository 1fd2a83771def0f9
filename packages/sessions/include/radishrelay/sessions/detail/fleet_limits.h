#ifndef RADISHRELAY_SESSIONS_DETAIL_FLEET_LIMITS_H
#define RADISHRELAY_SESSIONS_DETAIL_FLEET_LIMITS_H

#include "radishrelay/accounts/lending_limiter.h"
#include "radishrelay/sessions/catalog.h"
#include "radishrelay/sessions/detail/fleet_members.h"
#include "radishrelay/sessions/detail/token_borrower.h"

namespace radishrelay::sessions::detail {

/// Admits operations within the limits of their accounts over all hosts.
///
/// The limits of an account are held in equal shares by some hosts; the others
/// borrow tokens from these for each operation.
class fleet_limits {
public:
  fleet_limits(const engine_options &Options, fleet_members &Members,
               event_log &Log);

  void setCatalog(const catalog_ptr &NewCatalog, base::time_point Now);
  void advance(base::time_point Now);
  [[nodiscard]] base::time_point nextWake() const {
    return Borrower.nextDeadline();
  }

  void recordDemand(const base::account_id &Account, base::time_point Now) {
    Limiter.recordDemand(Account, Now);
  }
  /// Takes one operation of \p Account out of its limit.
  bool admit(const base::account_id &Account, base::time_point Now) {
    return Limiter.take(Account, Now);
  }
  /// Asks holders for tokens for \p Waiting operations unless that is under
  /// way.
  void borrow(const base::account_id &Account, std::int64_t Waiting,
              base::time_point Now);
  /// Whether holders asked at \p Since or later had no token.
  [[nodiscard]] bool isExhausted(const base::account_id &Account,
                                 base::time_point Since) const {
    return Borrower.isExhausted(Account, Since);
  }
  /// When a token of the own share accrues.
  [[nodiscard]] base::time_point
  nextTokenAt(const base::account_id &Account) const {
    return Limiter.nextTokenAt(Account);
  }

  void receive(const token_wish &Wish, const std::string &ReplyTo,
               base::time_point Now);
  void receive(const token_gift &Gift, const std::string &Lender,
               base::time_point Now);
  /// True if waiting operations may be admitted or refused since the last call.
  bool takeNews();
  [[nodiscard]] base::json dump() const;

private:
  /// Distributes the shares anew after a change of limits or hosts.
  void distribute(base::time_point Now);
  [[nodiscard]] std::vector<std::string>
  lenders(const hosts_by_domain &Holders) const;
  void ask(const base::account_id &Account, const std::string &Lender,
           std::int64_t Waiting);

  engine_options Options;
  fleet_members &Members;
  event_log &Log;
  accounts::lending_limiter Limiter;
  token_borrower Borrower;
  catalog_ptr Catalog;
  /// Addresses of the holders of each account, nearest first.
  std::map<base::account_id, std::vector<std::string>> Lenders;
  std::map<base::account_id, accounts::account_share> Shares;
  /// What the shares were distributed for.
  std::uint64_t HostsVersion = 0;
  bool IsShareHeld = false;
  bool HaveTokensArrived = false;
};

} // namespace radishrelay::sessions::detail

#endif
