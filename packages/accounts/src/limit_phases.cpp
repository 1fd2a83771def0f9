#include "radishrelay/accounts/limit_phases.h"

#include "radishrelay/accounts/limits_timing.h"

#include <algorithm>
#include <utility>

namespace radishrelay::accounts {

namespace {

millionths floorPerSlot(const limits_configuration &Configuration) {
  return Configuration.FloorFraction /
         std::max<std::int64_t>(1, Configuration.SlotCount);
}

millionths leasableUnder(const limits_configuration &Configuration,
                         const std::vector<std::int64_t> &Claimed) {
  auto Count =
      std::count_if(Claimed.begin(), Claimed.end(), [&](std::int64_t Slot) {
        return Slot < Configuration.SlotCount;
      });
  return WholeInMillionths - floorPerSlot(Configuration) * Count;
}

const account_limits *find(const limits_configuration &Configuration,
                           const base::account_id &Account) {
  for (const account_limits &Limits : Configuration.Accounts)
    if (Limits.Account == Account)
      return &Limits;
  return nullptr;
}

} // namespace

bool limit_phases::adopt(limits_configuration Configuration,
                         base::time_point Now) {
  if (!Phases.empty() && Configuration.Version <= newest().Version)
    return false;
  base::time_point Until = Now + timing::ConfigurationPhase;
  if (!SettledAt)
    SettledAt = Until;
  if (!Phases.empty())
    Phases.back().Until = Until;
  Phases.push_back({std::move(Configuration), base::time_point::max()});
  return true;
}

void limit_phases::advance(base::time_point Now) {
  std::erase_if(Phases,
                [Now](const phase &Phase) { return Phase.Until <= Now; });
}

bool limit_phases::settled(base::time_point Now) const {
  return SettledAt && *SettledAt <= Now;
}

std::optional<account_limits>
limit_phases::limitsOf(const base::account_id &Account) const {
  if (Phases.empty() || !find(newest(), Account))
    return std::nullopt;
  account_limits Min = *find(newest(), Account);
  for (const phase &Phase : Phases) {
    const account_limits *Limits = find(Phase.Configuration, Account);
    if (!Limits)
      continue;
    Min.RatePerSecond = std::min(Min.RatePerSecond, Limits->RatePerSecond);
    Min.Burst = std::min(Min.Burst, Limits->Burst);
  }
  return Min;
}

millionths limit_phases::floorSharePerSlot() const {
  millionths Min = Phases.empty() ? 0 : WholeInMillionths;
  for (const phase &Phase : Phases)
    Min = std::min(Min, floorPerSlot(Phase.Configuration));
  return Min;
}

millionths
limit_phases::leasableShare(const std::vector<std::int64_t> &Claimed) const {
  millionths Min = Phases.empty() ? 0 : WholeInMillionths;
  for (const phase &Phase : Phases)
    Min = std::min(Min, leasableUnder(Phase.Configuration, Claimed));
  return std::max<millionths>(0, Min);
}

std::int64_t limit_phases::slotCount() const {
  std::int64_t Min = Phases.empty() ? 0 : newest().SlotCount;
  for (const phase &Phase : Phases)
    Min = std::min(Min, Phase.Configuration.SlotCount);
  return Min;
}

const limits_configuration &limit_phases::newest() const {
  return Phases.back().Configuration;
}

base::json limit_phases::dump() const {
  base::json Dump = base::json::array();
  for (const phase &Phase : Phases)
    Dump.push_back({{"version", Phase.Configuration.Version},
                    {"slot_count", Phase.Configuration.SlotCount},
                    {"floor_fraction_ppm", Phase.Configuration.FloorFraction},
                    {"until_us", base::toMicroseconds(Phase.Until)}});
  return Dump;
}

} // namespace radishrelay::accounts
