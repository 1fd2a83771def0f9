#include "radishrelay/accounts/token_bucket.h"

#include <algorithm>

namespace radishrelay::accounts {

void token_bucket::refill(base::time_point Now, token_amount Reserved) {
  if (Now <= UpdatedAt)
    return;
  std::int64_t Elapsed = (Now - UpdatedAt).count();
  UpdatedAt = Now;
  token_amount Missing = Share.Burst - Reserved - Level;
  if (Missing <= 0 || Share.Rate <= 0)
    return;
  // Compares times, since Elapsed * Rate could overflow after a long pause.
  std::int64_t UntilFull = Missing / Share.Rate;
  Level += Elapsed > UntilFull ? Missing : Elapsed * Share.Rate;
}

void token_bucket::setShare(token_share NewShare, base::time_point Now,
                            token_amount Reserved) {
  refill(Now, Reserved);
  Share = NewShare;
  token_amount MaxLevel = std::max<token_amount>(0, Share.Burst - Reserved);
  Level = std::min(Level, MaxLevel);
}

bool token_bucket::take(token_amount Amount) {
  if (Level < Amount)
    return false;
  Level -= Amount;
  return true;
}

void token_bucket::putBack(token_amount Amount, token_amount Reserved) {
  token_amount FreeCapacity =
      std::max<token_amount>(0, Share.Burst - Reserved - Level);
  Level += std::min(Amount, FreeCapacity);
}

base::time_point token_bucket::levelReachedAt(token_amount Amount) const {
  if (Level >= Amount)
    return UpdatedAt;
  if (Share.Rate <= 0 || Share.Burst < Amount)
    return base::time_point::max();
  std::int64_t Wait = (Amount - Level + Share.Rate - 1) / Share.Rate;
  return UpdatedAt + base::duration(Wait);
}

base::json token_bucket::dump() const {
  return {{"level", Level}, {"rate", Share.Rate}, {"burst", Share.Burst}};
}

} // namespace radishrelay::accounts
