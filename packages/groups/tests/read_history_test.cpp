#include "radishrelay/base/random_generator.h"
#include "radishrelay/groups/read_hedge.h"
#include "radishrelay/groups/read_router.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace {

using namespace radishrelay::groups;
using namespace std::chrono_literals;
using radishrelay::base::duration;
using radishrelay::base::instance_id;
using radishrelay::base::random_generator;
using radishrelay::base::time_point;

const time_point Start = radishrelay::base::fromMicroseconds(1'000'000);

/// Model of a log whose entries are unique over all terms.
struct model_log {
  std::vector<std::uint64_t> Entries;
  std::vector<log_position> Starts{{1, 0}};

  [[nodiscard]] log_position end() const {
    return {Starts.back().Term, Entries.size()};
  }

  [[nodiscard]] bool holds(const std::vector<std::uint64_t> &Prefix) const {
    return Entries.size() >= Prefix.size() &&
           std::equal(Prefix.begin(), Prefix.end(), Entries.begin());
  }
};

/// Model of a group of three logs with random promotions. A log that follows a
/// primary truncates the entries that the primary does not have.
class model_group {
public:
  explicit model_group(std::uint64_t Seed) : Random(Seed) {}

  void step() {
    std::size_t Instance = Random.below(3);
    if (Random.chance(0.05))
      promote(Instance);
    else if (Random.chance(0.4))
      Logs[Primary].Entries.push_back(++LastEntry);
    else if (Instance != Primary && Random.chance(0.7))
      follow(Logs[Instance]);
  }

  [[nodiscard]] const model_log &log(std::size_t Instance) const {
    return Logs[Instance];
  }

  random_generator Random;

private:
  void promote(std::size_t Instance) {
    Primary = Instance;
    Logs[Instance].Starts.push_back({++Term, Logs[Instance].Entries.size()});
  }

  void follow(model_log &Log) {
    const model_log &Source = Logs[Primary];
    auto Difference =
        std::mismatch(Log.Entries.begin(), Log.Entries.end(),
                      Source.Entries.begin(), Source.Entries.end())
            .first;
    Log.Entries.erase(Difference, Log.Entries.end());
    std::size_t Missing = Source.Entries.size() - Log.Entries.size();
    std::size_t Copied = Random.below(Missing + 1);
    for (std::size_t Count = 0; Count < Copied; ++Count)
      Log.Entries.push_back(Source.Entries[Log.Entries.size()]);
    Log.Starts = Source.Starts;
  }

  std::vector<model_log> Logs{3};
  std::size_t Primary = 0;
  term_number Term = 1;
  std::uint64_t LastEntry = 0;
};

/// A position that a session has seen, with the entries before it.
struct seen_prefix {
  log_position Position;
  std::vector<std::uint64_t> Entries;
};

void checkRelation(const model_log &Log, const seen_prefix &Seen) {
  term_history History(Log.end(), Log.Starts);
  position_relation Relation = History.relate(Seen.Position);
  bool IsHeld = Log.holds(Seen.Entries);
  if (Relation == position_relation::Contained)
    BOOST_TEST(IsHeld);
  // A position wrongly reported as lost would make a session's reads fail.
  if (Relation == position_relation::Lost)
    BOOST_TEST(!IsHeld);
  if (History.lastEntry() == Seen.Position)
    BOOST_TEST((Relation == position_relation::Contained));
}

} // namespace

BOOST_AUTO_TEST_SUITE(read_history)

// Guards against treating a log as containing the entries that a session has
// seen although a failover replaced them, over random promotions and
// truncations.
BOOST_AUTO_TEST_CASE(position_relations_agree_with_the_model_logs) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    model_group Group(Seed);
    std::vector<seen_prefix> Seen;
    for (int Step = 0; Step < 500; ++Step) {
      Group.step();
      const model_log &Log = Group.log(Group.Random.below(3));
      term_history History(Log.end(), Log.Starts);
      if (Group.Random.chance(0.2))
        Seen.push_back({History.lastEntry(), Log.Entries});
      if (Seen.empty())
        continue;
      const seen_prefix &Any = Seen[Group.Random.below(Seen.size())];
      for (std::size_t Instance = 0; Instance < 3; ++Instance)
        checkRelation(Group.log(Instance), Any);
    }
  }
}

BOOST_AUTO_TEST_SUITE(replication_estimates)

// Guards against reads that reach a replica before it holds their position, or
// that wait far longer than needed.
BOOST_AUTO_TEST_CASE(follow_the_replication_delay) {
  replication_progress Progress;
  const instance_id Replica("permits-2");
  time_point Now = Start;
  for (log_offset Offset = 1; Offset <= 200; ++Offset, Now += 5ms) {
    Progress.observePrimary({1, Offset}, Now);
    if (Offset > 20)
      Progress.observeReplica(Replica, {1, Offset - 20}, Now);
  }
  std::optional<time_point> Expected =
      Progress.expectedAt(Replica, {1, 200}, Now);
  BOOST_REQUIRE(Expected.has_value());
  BOOST_TEST((*Expected - Now >= 85ms));
  BOOST_TEST((*Expected - Now <= 150ms));
}

// Guards against treating a replica as slow because the log was idle while the
// replica was up to date.
BOOST_AUTO_TEST_CASE(ignore_idle_periods) {
  replication_progress Progress;
  const instance_id Replica("permits-2");
  for (int Step = 0; Step < 100; ++Step) {
    time_point Now = Start + Step * 10s;
    auto Offset = static_cast<log_offset>(Step);
    Progress.observePrimary({1, Offset}, Now);
    Progress.observeReplica(Replica, {1, Offset}, Now + 10ms);
    Progress.observePrimary({1, Offset}, Now + 9990ms);
    Progress.observeReplica(Replica, {1, Offset}, Now + 9990ms);
  }
  time_point Now = Start + 1000s;
  BOOST_TEST((*Progress.expectedAt(Replica, {1, 101}, Now) - Now <= 100ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(hedging)

struct hedging_fixture {
  read_router Router;
  read_hedge Hedge;
  read_request Request;

  hedging_fixture() {
    Request.Deadline = Start + 5s;
    for (const char *Name : {"permits-1", "permits-2", "permits-3"}) {
      instance_status Status;
      Status.Position = {1, 5};
      Status.TermStarts = {{1, 0}};
      if (std::string(Name) == "permits-1")
        Status.Role = instance_role::Primary;
      Router.setInstance(instance_id(Name), 2ms);
      Router.observe(instance_id(Name), {Status, Start});
    }
  }

  std::optional<run_read> decide() {
    return Hedge.decide(Router, Request, instance_id("permits-2"), Start);
  }
};

// Guards against hedged reads that double the load on slow instances.
BOOST_FIXTURE_TEST_CASE(stays_within_its_budget, hedging_fixture) {
  int Copies = 0;
  for (int Read = 0; Read < 1000; ++Read) {
    Hedge.observe(2ms);
    if (decide())
      ++Copies;
  }
  BOOST_TEST(Copies <= 50);
  BOOST_TEST(Copies >= 49);
}

// Guards against sending the second copy to the same instance or to the
// primary.
BOOST_FIXTURE_TEST_CASE(uses_another_replica, hedging_fixture) {
  for (int Read = 0; Read < 40; ++Read)
    Hedge.observe(2ms);
  BOOST_TEST(decide()->Instance == instance_id("permits-3"));
  Router.setLeaving(instance_id("permits-3"), true);
  BOOST_TEST(!decide().has_value());
}

// Guards against hedging reads that are not slow.
BOOST_FIXTURE_TEST_CASE(waits_for_the_99th_percentile, hedging_fixture) {
  BOOST_TEST(!Hedge.dueAt(Start).has_value());
  for (int Read = 0; Read < 1000; ++Read)
    Hedge.observe(Read % 50 == 0 ? duration(40ms) : duration(2ms));
  BOOST_TEST((*Hedge.dueAt(Start) > Start + 10ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
