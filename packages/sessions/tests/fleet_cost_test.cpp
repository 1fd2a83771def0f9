// What a fleet of hundreds of hosts before many groups costs the store, and how
// many operations it refuses.
#include "support/fake_fleet.h"
#include "support/simulated_fleet.h"

#include <boost/test/unit_test.hpp>

namespace radishrelay::sessions::tests {

namespace {

constexpr std::size_t DomainCount = 5;
constexpr std::size_t HostCount = 295;
constexpr std::size_t GroupCount = 20;
constexpr base::duration Period = 10s;
/// One read vouches for half a lease or more, for all groups and hosts of a
/// failure domain.
constexpr std::uint64_t ReadsInPeriod = DomainCount * (Period / 350ms + 1);
/// Time for which a group without a primary refuses statements.
constexpr base::duration FailoverTime = 2s;
constexpr std::uint64_t OperationsPerSecond = HostCount * 1s / 500ms;

std::uint64_t claimReads(const simulated_fleet &Fleet) {
  auto Entry = Fleet.world().StoreCalls.find("read promotions");
  return Entry == Fleet.world().StoreCalls.end() ? 0 : Entry->second;
}

std::uint64_t refusals(const simulated_fleet &Fleet) {
  std::uint64_t Sum = 0;
  for (const auto &[Host, Count] : Fleet.world().Refusals)
    Sum += Fleet.isHostCut(Host) ? 0 : Count;
  return Sum;
}

/// Clients of 295 hosts in five failure domains run about 550 operations a
/// second on 20 groups, a third of them reads on the primary.
struct fixture {
  fixture() { Fleet.runFor(4s); }

  /// Runs the fleet for \p Time.
  void run(base::duration Time) {
    std::uint64_t ReadsBefore = claimReads(Fleet);
    std::uint64_t RefusalsBefore = refusals(Fleet);
    std::uint64_t DoneBefore = Fleet.world().WritesDone;
    Fleet.runFor(Time);
    Reads = claimReads(Fleet) - ReadsBefore;
    Refusals = refusals(Fleet) - RefusalsBefore;
    WritesDone = Fleet.world().WritesDone - DoneBefore;
    BOOST_TEST_MESSAGE(Reads << " reads of claims, " << Refusals
                             << " refusals, " << WritesDone << " writes done");
    for (const auto &Group : Fleet.groups().all())
      BOOST_TEST(Group->broken().empty());
  }

  simulated_fleet Fleet{1,
                        {},
                        {.Domains = DomainCount,
                         .Hosts = HostCount,
                         .Groups = GroupCount,
                         .Load = {.ClientsPerHost = 1, .Pause = 500ms}}};
  std::uint64_t Reads = 0;
  std::uint64_t Refusals = 0;
  std::uint64_t WritesDone = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_fleet_of_hundreds_of_hosts)

// Guards against reads of claims that grow with hosts times groups.
BOOST_FIXTURE_TEST_CASE(reads_the_claims_once_for_each_domain, fixture) {
  run(Period);
  BOOST_TEST(Reads <= ReadsInPeriod);
  BOOST_TEST(Refusals == 0U);
  BOOST_TEST(WritesDone > 2000U);
}

// Guards against hosts that each read the claims, for each of their groups,
// after they were cut off from the hosts that hold the proofs.
BOOST_FIXTURE_TEST_CASE(reads_the_claims_no_more_often_when_a_third_returns,
                        fixture) {
  Fleet.setHostsCut(3, true);
  run(Period);
  BOOST_TEST(Reads <= ReadsInPeriod);
  BOOST_TEST(Refusals <= OperationsPerSecond * (Period / 1s) / 100);
  Fleet.setHostsCut(3, false);
  run(Period);
  BOOST_TEST(Reads <= ReadsInPeriod);
  BOOST_TEST(Refusals <= OperationsPerSecond * (Period / 1s) / 100);
}

// Guards against a read for each commit and host while promotions are in
// progress, when no earlier read vouches for a commit.
BOOST_FIXTURE_TEST_CASE(bounds_the_reads_of_simultaneous_promotions, fixture) {
  Fleet.crashPrimaries(Period);
  run(Period);
  constexpr std::uint64_t ReadsOfDomains = DomainCount * (FailoverTime / 50ms);
  constexpr std::uint64_t ReadsOfPromotions = GroupCount * 4;
  BOOST_TEST(Reads <= ReadsOfDomains + ReadsOfPromotions);
  BOOST_TEST(Refusals <= OperationsPerSecond * (FailoverTime / 1s));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace radishrelay::sessions::tests
