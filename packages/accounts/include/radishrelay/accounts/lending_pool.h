#ifndef RADISHRELAY_ACCOUNTS_LENDING_POOL_H
#define RADISHRELAY_ACCOUNTS_LENDING_POOL_H

#include "radishrelay/accounts/token_bucket.h"

#include <cstdint>
#include <map>
#include <optional>

namespace radishrelay::accounts {

/// Number of a loan, unique for one incarnation of a lender.
using loan_number = std::uint64_t;

/// A token bucket of which parts are lent to other hosts.
///
/// Invariant: level + outstanding <= burst of the share. A loan stays
/// outstanding until the borrower reports it spent or returned, or until its
/// deadline plus margin has passed, so that no token exists twice.
class lending_pool {
public:
  /// A loan as the lender sees it.
  struct loan {
    token_amount Amount = 0;
    /// When the borrower can certainly not spend any more.
    base::time_point ReleaseAt;

    friend auto operator<=>(const loan &, const loan &) = default;
  };

  /// Refills up to \p Now and releases the loans whose time has passed.
  void advance(base::time_point Now);

  /// Changes the share; a smaller burst cuts the level, never the loans.
  void setShare(token_share Share, base::time_point Now);

  /// Makes the tokens usable until \p Deadline (the end of the lease).
  void setDeadline(base::time_point NewDeadline) { Deadline = NewDeadline; }

  /// Takes tokens for a request of this host.
  bool take(token_amount Amount) { return Bucket.take(Amount); }

  /// Lends \p Amount for \p Validity under \p Number. Returns false when the
  /// level is lower.
  bool lend(loan_number Number, token_amount Amount, base::duration Validity,
            base::time_point Now);

  /// Longest validity of a loan granted at \p Now; zero when none may be.
  [[nodiscard]] base::duration validity(base::time_point Now) const;

  /// Ends a loan: the borrower spent \p Spent and cannot spend the rest, which
  /// comes back. Unknown loans (already ended) are ignored.
  void settle(loan_number Number, token_amount Spent);

  [[nodiscard]] token_amount available(base::time_point Now) const;
  [[nodiscard]] token_amount outstanding() const { return Outstanding; }
  [[nodiscard]] const token_share &share() const { return Bucket.share(); }
  [[nodiscard]] base::time_point deadline() const { return Deadline; }
  [[nodiscard]] bool hasLoans() const { return !Loans.empty(); }

  [[nodiscard]] base::json dump() const;

private:
  token_bucket Bucket;
  std::map<loan_number, loan> Loans;
  token_amount Outstanding = 0;
  base::time_point Deadline;
};

} // namespace radishrelay::accounts

#endif
