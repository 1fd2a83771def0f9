#include "radishrelay/accounts/borrowed_tokens.h"

#include <algorithm>
#include <utility>

namespace radishrelay::accounts {

void borrowed_tokens::add(loan Loan) {
  auto Place = std::upper_bound(Loans.begin(), Loans.end(), Loan,
                                [](const loan &Left, const loan &Right) {
                                  return Left.Deadline < Right.Deadline;
                                });
  Loans.insert(Place, std::move(Loan));
}

token_amount borrowed_tokens::available(base::time_point Now) const {
  token_amount Sum = 0;
  for (const loan &Loan : Loans)
    if (Now < Loan.Deadline)
      Sum += Loan.Amount - Loan.Spent;
  return Sum;
}

token_amount borrowed_tokens::take(token_amount Amount, base::time_point Now,
                                   base::time_point &ValidUntil) {
  token_amount Taken = 0;
  for (loan &Loan : Loans) {
    token_amount FromLoan = std::min(Amount - Taken, Loan.Amount - Loan.Spent);
    if (FromLoan <= 0 || Now >= Loan.Deadline)
      continue;
    Loan.Spent += FromLoan;
    Taken += FromLoan;
    ValidUntil = std::min(ValidUntil, Loan.Deadline);
  }
  return Taken;
}

std::vector<borrowed_tokens::loan>
borrowed_tokens::removeEnded(base::time_point EndsBefore) {
  auto Remains = [&](const loan &Loan) {
    return Loan.Spent < Loan.Amount && Loan.Deadline >= EndsBefore;
  };
  auto Middle = std::stable_partition(Loans.begin(), Loans.end(), Remains);
  std::vector<loan> Ended(Middle, Loans.end());
  Loans.erase(Middle, Loans.end());
  return Ended;
}

base::json borrowed_tokens::dump() const {
  base::json Dump = base::json::array();
  for (const loan &Loan : Loans)
    Dump.push_back({{"lender", Loan.Lender.str()},
                    {"unspent", Loan.Amount - Loan.Spent},
                    {"deadline_us", base::toMicroseconds(Loan.Deadline)}});
  return Dump;
}

} // namespace radishrelay::accounts
