// Schedules of faults for a simulated fleet.
#include "support/simulated_fleet.h"

#include "support/fake_fleet.h"

#include <algorithm>
#include <array>

namespace radishrelay::sessions::tests {

namespace {

base::duration milliseconds(std::uint64_t Count) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(Count));
}

} // namespace

std::string describe(const scheduled_fault &Fault) {
  static constexpr std::array<const char *, AllFaultKindCount> Names{
      "release",
      "release primary",
      "crash primary",
      "crash instance",
      "isolate primary",
      "cut domain",
      "store down",
      "deaf",
      "kill host",
      "freeze host",
      "restore store",
      "cut promoter",
      "kill promoter",
      "freeze promoter",
      "replace primary",
      "stutter",
      "evacuate",
      "evacuate primary",
      "cut hosts from primary",
      "kill all hosts",
      "release after start",
      "release primary after start"};
  return "at " + std::to_string(Fault.At.count() / 1000) + " ms for " +
         std::to_string(Fault.For.count() / 1000) +
         " ms: " + Names.at(static_cast<std::size_t>(Fault.Kind)) + " " +
         std::to_string(Fault.Target);
}

std::vector<scheduled_fault> drawFaults(std::uint64_t Seed) {
  base::random_generator Random(Seed);
  std::vector<scheduled_fault> Result;
  std::vector<base::duration> Moments;
  for (std::uint64_t Count = 1 + Random.below(2); Count > 0; --Count)
    Moments.push_back(milliseconds(1000 + Random.below(12000)));
  for (std::uint64_t Count = 3 + Random.below(4); Count > 0; --Count) {
    scheduled_fault Fault;
    Fault.Kind = static_cast<fault_kind>(Random.below(FaultKindCount));
    Fault.Target = Random.below(6);
    Fault.At = Moments[Random.below(Moments.size())] +
               milliseconds(Random.below(1500));
    Fault.For = milliseconds(1000 + Random.below(6000));
    Result.push_back(Fault);
    bool IsRelease = Fault.Kind == fault_kind::Release ||
                     Fault.Kind == fault_kind::ReleasePrimary;
    if (IsRelease)
      Moments.push_back(Fault.At + LeavingTime - 500ms);
  }
  std::ranges::sort(Result, {}, &scheduled_fault::At);
  return Result;
}

std::vector<scheduled_fault> drawFaultsWithRestores(std::uint64_t Seed) {
  constexpr std::uint64_t SeedOffset = 1'000'000'000;
  base::random_generator Random(SeedOffset + Seed);
  std::vector<scheduled_fault> Result = drawFaults(Seed);
  std::vector<scheduled_fault> Restores;
  for (std::uint64_t Count = 1 + Random.below(2); Count > 0; --Count) {
    base::duration Moment = Result[Random.below(Result.size())].At;
    Restores.push_back(
        {fault_kind::RestoreStore, Moment + milliseconds(Random.below(2500)),
         milliseconds(50 + Random.below(2000)), 1 + Random.below(9)});
  }
  Result.insert(Result.end(), Restores.begin(), Restores.end());
  std::ranges::sort(Result, {}, &scheduled_fault::At);
  return Result;
}

std::vector<scheduled_fault> drawFaultsOfPromoters(std::uint64_t Seed) {
  constexpr std::uint64_t SeedOffset = 2'000'000'000;
  constexpr std::uint64_t KindCount = 3;
  base::random_generator Random(SeedOffset + Seed);
  std::vector<scheduled_fault> Result = drawFaults(Seed);
  std::vector<scheduled_fault> Added;
  for (std::uint64_t Count = 1 + Random.below(3); Count > 0; --Count) {
    auto Kind = static_cast<fault_kind>(
        static_cast<std::uint64_t>(fault_kind::CutPromoter) +
        Random.below(KindCount));
    base::duration Moment = Result[Random.below(Result.size())].At;
    Added.push_back({Kind, Moment, milliseconds(500 + Random.below(11500)),
                     Random.below(32)});
  }
  Added.push_back({Random.chance(0.5) ? fault_kind::CrashPrimary
                                      : fault_kind::ReleasePrimary,
                   Added.front().At + milliseconds(Random.below(1000)),
                   milliseconds(1000 + Random.below(6000)), 0});
  Result.insert(Result.end(), Added.begin(), Added.end());
  std::ranges::sort(Result, {}, &scheduled_fault::At);
  return Result;
}

std::vector<scheduled_fault> drawFaultsWithStutter(std::uint64_t Seed) {
  constexpr std::uint64_t SeedOffset = 3'000'000'000;
  base::random_generator Random(SeedOffset + Seed);
  std::vector<scheduled_fault> Result = drawFaults(Seed);
  std::vector<scheduled_fault> Added;
  for (std::uint64_t Count = 2 + Random.below(3); Count > 0; --Count) {
    base::duration Moment = Result[Random.below(Result.size())].At;
    base::duration Lead = milliseconds(Random.below(2000));
    Added.push_back({fault_kind::Stutter, std::max(Moment, Lead) - Lead,
                     milliseconds(500 + Random.below(9500)),
                     Random.below(StutterTargets * StutterShares.size())});
  }
  Result.insert(Result.end(), Added.begin(), Added.end());
  std::ranges::sort(Result, {}, &scheduled_fault::At);
  return Result;
}

std::vector<scheduled_fault> drawFaultsWithEvacuations(std::uint64_t Seed) {
  constexpr std::uint64_t SeedOffset = 4'000'000'000;
  constexpr std::uint64_t RestoreInterval = 3;
  base::random_generator Random(SeedOffset + Seed);
  std::vector<scheduled_fault> Result = Seed % RestoreInterval == 0
                                            ? drawFaultsWithRestores(Seed)
                                            : drawFaults(Seed);
  std::vector<scheduled_fault> Added;
  for (std::uint64_t Count = 1 + Random.below(4); Count > 0; --Count) {
    base::duration Moment = Result[Random.below(Result.size())].At;
    base::duration Lead = milliseconds(Random.below(5000));
    Added.push_back({Random.chance(0.6) ? fault_kind::EvacuatePrimary
                                        : fault_kind::Evacuate,
                     std::max(Moment, Lead) - Lead,
                     milliseconds(1000 + Random.below(20000)),
                     Random.below(3)});
  }
  Result.insert(Result.end(), Added.begin(), Added.end());
  std::ranges::sort(Result, {}, &scheduled_fault::At);
  return Result;
}

std::vector<scheduled_fault> drawFaultsWithPathCuts(std::uint64_t Seed) {
  constexpr std::uint64_t SeedOffset = 5'000'000'000;
  /// Choices of six hosts of three failure domains.
  constexpr std::uint64_t HostChoices = 63;
  base::random_generator Random(SeedOffset + Seed);
  std::vector<scheduled_fault> Result = drawFaults(Seed);
  std::vector<scheduled_fault> Added;
  for (std::uint64_t Count = 1 + Random.below(2); Count > 0; --Count) {
    base::duration Moment = Result[Random.below(Result.size())].At;
    Added.push_back({fault_kind::CutHostsFromPrimary, Moment,
                     milliseconds(1000 + Random.below(6000)),
                     1 + Random.below(HostChoices)});
    for (std::uint64_t Releases = 1 + Random.below(2); Releases > 0; --Releases)
      Added.push_back(
          {Random.chance(0.7) ? fault_kind::ReleaseAfterStart
                              : fault_kind::ReleasePrimaryAfterStart,
           Moment + milliseconds(Random.below(3000)), 0ms, Random.below(6)});
  }
  Result.insert(Result.end(), Added.begin(), Added.end());
  std::ranges::sort(Result, {}, &scheduled_fault::At);
  return Result;
}

std::vector<scheduled_fault> drawFaultsWithMassKills(std::uint64_t Seed) {
  constexpr std::uint64_t SeedOffset = 6'000'000'000;
  base::random_generator Random(SeedOffset + Seed);
  std::vector<scheduled_fault> Result;
  // On every other seed the series is alone.
  if (Seed % 2 == 0)
    Result = drawFaults(Seed);
  for (std::uint64_t Count = 1 + Random.below(2); Count > 0; --Count) {
    base::duration Moment = milliseconds(1000 + Random.below(10000));
    Result.push_back({Random.chance(0.5) ? fault_kind::ReleasePrimary
                                         : fault_kind::ReleasePrimaryAfterStart,
                      Moment, 0ms, 0});
    Result.push_back({fault_kind::KillAllHosts,
                      Moment + milliseconds(Random.below(1500)),
                      milliseconds(200 + Random.below(1500)), 0});
    for (std::uint64_t Releases = 2 + Random.below(3); Releases > 0; --Releases)
      Result.push_back({fault_kind::ReleaseAfterStart,
                        Moment + milliseconds(500 + Random.below(4000)), 0ms,
                        Random.below(6)});
  }
  std::ranges::sort(Result, {}, &scheduled_fault::At);
  return Result;
}

} // namespace radishrelay::sessions::tests
