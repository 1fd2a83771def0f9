// Injects random faults into a fleet and checks every admission against the
// reference buckets. Environment variables:
//   RADISHRELAY_LIMITS_SEEDS  number of seeds to run (default 8)
//   RADISHRELAY_LIMITS_FIRST  first seed (default 1)
// A failing seed is printed; run it alone with
//   RADISHRELAY_LIMITS_FIRST=SEED RADISHRELAY_LIMITS_SEEDS=1
//       build/packages/accounts/radishrelay_accounts_tests
//       --run_test=fleet_under_faults
#include "support/checked_fleet.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

namespace {

using namespace radishrelay;
using namespace radishrelay::accounts;
using namespace radishrelay::accounts::fakes;
using namespace std::chrono_literals;

std::uint64_t fromEnvironment(const char *Name, std::uint64_t Default) {
  // The test program has one thread.
  // NOLINTNEXTLINE(concurrency-mt-unsafe)
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

constexpr base::duration FaultInterval = 400ms;
constexpr auto RunTime = 60s;

class random_run {
public:
  explicit random_run(std::uint64_t Seed) : Checked(Seed) {
    fake_fleet &Fleet = Checked.Fleet;
    Fleet.Configuration = {1, 6, 300'000, {}};
    // Small bursts fill within a second, so that a share used by two hosts is
    // detected.
    Checked.addAccount("large", 50, 20);
    Checked.addAccount("small", 6, 3);
    for (auto [Name, Domain] :
         {std::pair("h1", "boston"), std::pair("h2", "boston"),
          std::pair("h3", "hartford"), std::pair("h4", "hartford"),
          std::pair("h5", "portland")}) {
      fake_fleet::host &Host = Fleet.addHost(Name, Domain);
      Host.ClockOffset = base::duration(Fleet.Random.below(1'000'000'000'000));
      Host.ClockSlowPpm = static_cast<std::int64_t>(Fleet.Random.below(500));
      Fleet.start(Host);
    }
  }

  std::string run() {
    fake_fleet &Fleet = Checked.Fleet;
    base::time_point End = Fleet.Queue.now() + RunTime;
    scheduleBurst("large", 150, End);
    scheduleBurst("small", 12, End);
    Fleet.advance(15s);
    // Many faults lose tokens, which would hide tokens that two hosts spend.
    double Scale = Fleet.Random.unit() * Fleet.Random.unit();
    Fleet.Faults = {0.1 * Scale, 0.1 * Scale,  0.1 * Scale,   0.05 * Scale,
                    0.1 * Scale, 0.05 * Scale, 0.0005 * Scale};
    while (Fleet.Queue.now() < End && Checked.Violation.empty()) {
      injectFault();
      Fleet.advance(FaultInterval);
    }
    return Checked.Violation;
  }

  [[nodiscard]] std::int64_t admitted() const {
    return Checked.admittedOf("large");
  }

private:
  /// Schedules bursts at several times the rate on most hosts, with pauses in
  /// which the buckets fill: only full buckets reveal tokens that two hosts
  /// spend.
  void scheduleBurst(const std::string &Account, std::int64_t PerSecond,
                     base::time_point End) {
    fake_fleet &Fleet = Checked.Fleet;
    base::duration On(100'000 + Fleet.Random.below(1'400'000));
    base::duration Off(100'000 + Fleet.Random.below(4'000'000));
    base::time_point Until = Fleet.Queue.now() + On;
    for (auto &[Id, Host] : Fleet.Hosts)
      if (Fleet.Random.chance(0.7))
        Checked.load(Host, Account, PerSecond, Until);
    if (Until < End)
      Fleet.Queue.after(On + Off,
                        [=, this] { scheduleBurst(Account, PerSecond, End); });
  }

  fake_fleet::host &anyHost() {
    auto Host = Checked.Fleet.Hosts.begin();
    std::advance(Host, Checked.Fleet.Random.below(Checked.Fleet.Hosts.size()));
    return Host->second;
  }

  void injectFault() {
    fake_fleet &Fleet = Checked.Fleet;
    fake_fleet::host &Host = anyHost();
    switch (Fleet.Random.below(20)) {
    case 0:
      Fleet.crash(Host);
      return Fleet.announce();
    case 1:
    case 2:
      return Host.Limiter ? void() : Fleet.start(Host);
    case 3:
      Host.PausedUntil =
          Fleet.Queue.now() + base::duration(Fleet.Random.below(8'000'000));
      return;
    case 4:
      Fleet.Partitioned.insert(Host.Identity.FailureDomain);
      return;
    case 5:
    case 6:
      return Fleet.Partitioned.clear();
    case 7:
      Fleet.StoreDown = Fleet.Random.chance(0.3);
      return;
    case 8:
      // Gives this host another list of live hosts than the others.
      return Fleet.announceTo(
          Host, {{Host.Identity.Host, Host.Identity.FailureDomain}});
    case 9:
      // Delays answers to writes, then partitions the failure domain: a lease
      // counted from its answer would last longer than other hosts assume.
      Fleet.Faults.StoreAnswerDelayed = 0.7;
      Fleet.advance(2s);
      Fleet.Partitioned.insert(Host.Identity.FailureDomain);
      Fleet.Faults.StoreAnswerDelayed = 0;
      Fleet.advance(5s);
      return;
    default:
      return Fleet.announce();
    }
  }

  checked_fleet Checked;
};

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_under_faults)

// Guards against admissions above rate and burst, and against tokens that two
// hosts can spend, under random sequences of faults (P7).
BOOST_AUTO_TEST_CASE(never_exceeds_rate_and_burst) {
  std::uint64_t First = fromEnvironment("RADISHRELAY_LIMITS_FIRST", 1);
  std::uint64_t Count = fromEnvironment("RADISHRELAY_LIMITS_SEEDS", 8);
  for (std::uint64_t Seed = First; Seed < First + Count; ++Seed) {
    random_run Run(Seed);
    std::string Violation = Run.run();
    BOOST_TEST(Violation.empty(), "seed " << Seed << ": " << Violation);
    // Without this check a limiter that refuses everything would pass.
    BOOST_TEST(Run.admitted() > 150,
               "seed " << Seed << " admitted only " << Run.admitted());
  }
}

BOOST_AUTO_TEST_SUITE_END()
