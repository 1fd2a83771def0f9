#ifndef RADISHRELAY_ACCOUNTS_BORROWED_TOKENS_H
#define RADISHRELAY_ACCOUNTS_BORROWED_TOKENS_H

#include "radishrelay/accounts/loan_messages.h"
#include "radishrelay/base/identifier.h"
#include "radishrelay/base/json.h"
#include "radishrelay/base/monotonic_clock.h"

#include <compare>
#include <vector>

namespace radishrelay::accounts {

/// The loans of one account that this host has received as the borrower.
class borrowed_tokens {
public:
  /// A loan as the borrower sees it.
  struct loan {
    base::host_id Lender;
    std::uint64_t LenderIncarnation = 0;
    loan_number Number = 0;
    token_amount Amount = 0;
    token_amount Spent = 0;
    base::time_point Deadline;

    friend auto operator<=>(const loan &, const loan &) = default;
  };

  /// Adds a loan; loans are kept sorted by deadline.
  void add(loan Loan);

  /// Unspent tokens of the loans that are valid at \p Now.
  [[nodiscard]] token_amount available(base::time_point Now) const;

  /// Takes up to \p Amount, first from the loans that end first, and returns
  /// the amount taken. Lowers \p ValidUntil to the earliest deadline of the
  /// loans used.
  token_amount take(token_amount Amount, base::time_point Now,
                    base::time_point &ValidUntil);

  /// Removes and returns the spent loans, and the loans that end before
  /// \p EndsBefore so that their unspent tokens reach the lender in time.
  std::vector<loan> removeEnded(base::time_point EndsBefore);

  /// Lender, unspent amount and deadline of each loan.
  [[nodiscard]] base::json dump() const;

private:
  std::vector<loan> Loans;
};

} // namespace radishrelay::accounts

#endif
