#include "radishrelay/accounts/lending_pool.h"

#include "radishrelay/accounts/limits_timing.h"

#include <algorithm>

namespace radishrelay::accounts {

void lending_pool::advance(base::time_point Now) {
  // Refills before releasing loans: a loan that ends now has reserved its part
  // of the burst until now.
  Bucket.refill(Now, Outstanding);
  for (auto Loan = Loans.begin(); Loan != Loans.end();) {
    if (Loan->second.ReleaseAt > Now) {
      ++Loan;
      continue;
    }
    Outstanding -= Loan->second.Amount;
    Loan = Loans.erase(Loan);
  }
}

void lending_pool::setShare(token_share Share, base::time_point Now) {
  advance(Now);
  if (Share != Bucket.share())
    Bucket.setShare(Share, Now, Outstanding);
}

bool lending_pool::lend(loan_number Number, token_amount Amount,
                        base::duration Validity, base::time_point Now) {
  if (!Bucket.take(Amount))
    return false;
  base::time_point ReleaseAt = Now + Validity + timing::LoanMargin;
  Loans[Number] = {Amount, ReleaseAt};
  Outstanding += Amount;
  return true;
}

base::duration lending_pool::validity(base::time_point Now) const {
  base::duration UntilDeadline = Deadline - Now;
  return std::clamp(UntilDeadline, base::duration::zero(), timing::LoanLease);
}

void lending_pool::settle(loan_number Number, token_amount Spent) {
  auto Found = Loans.find(Number);
  if (Found == Loans.end())
    return;
  token_amount Amount = Found->second.Amount;
  Outstanding -= Amount;
  Bucket.putBack(Amount - std::clamp<token_amount>(Spent, 0, Amount),
                 Outstanding);
  Loans.erase(Found);
}

token_amount lending_pool::available(base::time_point Now) const {
  return Now < Deadline ? Bucket.level() : 0;
}

base::json lending_pool::dump() const {
  base::json Dump = Bucket.dump();
  Dump["outstanding"] = Outstanding;
  Dump["loans"] = Loans.size();
  Dump["deadline_us"] = base::toMicroseconds(Deadline);
  return Dump;
}

} // namespace radishrelay::accounts
