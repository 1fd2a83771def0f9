#include "radishrelay/groups/hedge_budget.h"

#include <algorithm>

namespace radishrelay::groups {

namespace {

constexpr std::uint64_t MillionthsPerHedge = 1'000'000;

} // namespace

hedge_budget::hedge_budget(std::uint64_t PartsPerMillion, std::uint64_t Burst)
    : PartsPerMillion(PartsPerMillion),
      CapacityMillionths(Burst * MillionthsPerHedge) {}

void hedge_budget::recordRead() {
  ++Reads;
  CreditMillionths =
      std::min(CapacityMillionths, CreditMillionths + PartsPerMillion);
}

bool hedge_budget::tryTake() {
  if (CreditMillionths < MillionthsPerHedge)
    return false;
  CreditMillionths -= MillionthsPerHedge;
  ++Hedges;
  return true;
}

base::json hedge_budget::dump() const {
  return {{"reads", Reads},
          {"hedges", Hedges},
          {"credit_millionths", CreditMillionths}};
}

} // namespace radishrelay::groups
