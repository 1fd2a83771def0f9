#ifndef RADISHRELAY_ACCOUNTS_BORROWED_TOKENS_H
#define RADISHRELAY_ACCOUNTS_BORROWED_TOKENS_H

#include "radishrelay/accounts/loan_messages.h"
#include "radishrelay/base/identifier.h"
#include "radishrelay/base/json.h"
#include "radishrelay/base/monotonic_clock.h"

#include <compare>
#include <vector>

namespace radishrelay::accounts {

/// The loans that a host has taken for one account, as the borrower.
class borrowed_tokens {
public:
  /// A loan that was given by \p Lender.
  struct loan {
    base::host_id Lender;
    std::uint64_t LenderIncarnation = 0;
    loan_number Number = 0;
    token_amount Amount = 0;
    token_amount Spent = 0;
    base::time_point Deadline;

    friend auto operator<=>(const loan &, const loan &) = default;
  };

  /// Adds a loan, in order of deadlines.
  void add(loan Loan);

  /// Tokens that may still be spent at \p Now.
  [[nodiscard]] token_amount available(base::time_point Now) const;

  /// Takes up to \p Amount, from the loans that end first, and lowers
  /// \p ValidUntil to the earliest deadline of those used.
  token_amount take(token_amount Amount, base::time_point Now,
                    base::time_point &ValidUntil);

  /// Removes and returns the loans that are spent, and those that end before
  /// \p EndsBefore so that their rest goes back in time.
  std::vector<loan> removeEnded(base::time_point EndsBefore);

  /// Unspent amount and deadline of each loan.
  [[nodiscard]] base::json dump() const;

private:
  std::vector<loan> Loans;
};

} // namespace radishrelay::accounts

#endif
