#ifndef RADISHRELAY_ACCOUNTS_LENDING_POOL_H
#define RADISHRELAY_ACCOUNTS_LENDING_POOL_H

#include "radishrelay/accounts/token_bucket.h"

#include <cstdint>
#include <map>
#include <optional>

namespace radishrelay::accounts {

/// Number of a loan, unique within one incarnation of the lender.
using loan_number = std::uint64_t;

/// A token bucket that lends tokens to other hosts.
///
/// Invariant: level + outstanding <= burst of the share. A loan stays
/// outstanding until the borrower reports that it is spent or returned, or
/// until its deadline plus LoanMargin has passed, so that no token can be spent
/// by both lender and borrower.
class lending_pool {
public:
  /// A loan as the lender sees it.
  struct loan {
    token_amount Amount = 0;
    /// The borrower can no longer spend the loan at this time.
    base::time_point ReleaseAt;

    friend auto operator<=>(const loan &, const loan &) = default;
  };

  /// Refills the bucket up to \p Now and releases the expired loans.
  void advance(base::time_point Now);

  /// Replaces the share. A smaller burst lowers the level but not the loans.
  void setShare(token_share Share, base::time_point Now);

  /// Sets the end of the lease, until which the tokens are usable.
  void setDeadline(base::time_point NewDeadline) { Deadline = NewDeadline; }

  /// Takes tokens for a request on this host. Returns false and takes none if
  /// the level is lower than \p Amount.
  bool take(token_amount Amount) { return Bucket.take(Amount); }

  /// Lends \p Amount for \p Validity as loan \p Number. Returns false if the
  /// level is lower than \p Amount.
  bool lend(loan_number Number, token_amount Amount, base::duration Validity,
            base::time_point Now);

  /// Maximum validity of a loan granted at \p Now; zero once the lease has
  /// ended.
  [[nodiscard]] base::duration validity(base::time_point Now) const;

  /// Ends a loan of which the borrower spent \p Spent, and adds the rest to the
  /// bucket. Loans that have already ended are ignored.
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
