#include "radishrelay/base/random_generator.h"
#include "radishrelay/groups/connection_pool.h"
#include "radishrelay/groups/connection_quota.h"
#include "radishrelay/groups/owner_hosts.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay::groups;
using namespace std::chrono_literals;
using radishrelay::base::group_id;
using radishrelay::base::random_generator;
using radishrelay::base::time_point;

const time_point Start = radishrelay::base::fromMicroseconds(1'000'000);

connection_pool poolOf(std::uint32_t Quota) {
  connection_pool_options Options;
  Options.Quota = Quota;
  return connection_pool(Options);
}

/// Opens one connection for each 10 ms until the pool wants no more.
time_point fill(connection_pool &Pool, std::size_t Demand) {
  time_point Now = Start;
  for (int Round = 0; Round < 10; ++Round, Now += 10ms)
    for (const pool_action &Action : Pool.setDemand(Demand, Now))
      Pool.opened(std::get<open_pooled>(Action).Connection, Now);
  return Now;
}

template <typename Action> bool holdsOne(const pool_actions &Actions) {
  return Actions.size() == 1 && std::holds_alternative<Action>(Actions[0]);
}

std::vector<group_id> databases(int Count) {
  std::vector<group_id> Groups;
  for (int Index = 0; Index < Count; ++Index)
    Groups.emplace_back("db-" + std::to_string(Index));
  return Groups;
}

std::vector<slot_number> slots(slot_number Count) {
  std::vector<slot_number> Numbers(Count);
  for (slot_number Slot = 0; Slot < Count; ++Slot)
    Numbers[Slot] = Slot;
  return Numbers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(connections)

BOOST_AUTO_TEST_SUITE(pool)

// Guards against more connections over all hosts than the instance accepts.
BOOST_AUTO_TEST_CASE(stays_within_the_quota) {
  BOOST_TEST(connectionQuota(50, 2, 24) == 2U);
  BOOST_TEST(connectionQuota(150, 2, 24) == 6U);
  BOOST_TEST(connectionQuota(2, 2, 24) == 0U);
  connection_pool Pool = poolOf(4);
  fill(Pool, 100);
  BOOST_TEST(Pool.size() == 4U);
}

// Guards against probes that wait behind requests, which look like a failed
// primary.
BOOST_AUTO_TEST_CASE(keeps_one_connection_for_probes) {
  connection_pool Pool = poolOf(2);
  fill(Pool, 100);
  std::optional<connection_number> Work = Pool.take();
  BOOST_REQUIRE(Work.has_value());
  BOOST_TEST(!Pool.take().has_value());
  BOOST_REQUIRE(Pool.control().has_value());
  BOOST_TEST(*Pool.control() != *Work);
}

// Guards against a storm of new connections after a failover.
BOOST_AUTO_TEST_CASE(opens_one_connection_per_interval) {
  connection_pool Pool = poolOf(6);
  BOOST_TEST(Pool.setDemand(100, Start).size() == 1U);
  BOOST_TEST(Pool.tick(Start + 9ms).empty());
  BOOST_TEST((Pool.nextDeadline() == Start + 10ms));
  BOOST_TEST(Pool.tick(Start + 10ms).size() == 1U);
}

// Guards against hosts that besiege an instance which refuses connections.
BOOST_AUTO_TEST_CASE(opens_more_slowly_after_failures) {
  connection_pool Pool = poolOf(2);
  int Attempts = 0;
  for (int Step = 0; Step < 5000; ++Step) {
    time_point Now = Start + Step * 1ms;
    for (const pool_action &Action : Pool.setDemand(1, Now)) {
      ++Attempts;
      Pool.closed(std::get<open_pooled>(Action).Connection, Now);
    }
  }
  BOOST_TEST(Attempts < 60);
  BOOST_TEST(Attempts > 5);
}

// Guards against a late answer that reaches the next request (P8).
BOOST_AUTO_TEST_CASE(never_reuses_an_uncertain_connection) {
  connection_pool Pool = poolOf(2);
  time_point Now = fill(Pool, 1);
  connection_number Number = *Pool.take();
  BOOST_TEST(holdsOne<close_pooled>(
      Pool.giveBack(Number, connection_use_end::Uncertain, Now)));
  BOOST_TEST(!Pool.take().has_value());
  BOOST_TEST(Pool.size() == 2U);
  Pool.closed(Number, Now);
  BOOST_TEST(!Pool.take().has_value());
}

// Guards against a transaction or a setting that leaks to another caller (P3).
BOOST_AUTO_TEST_CASE(resets_a_connection_before_its_reuse) {
  connection_pool Pool = poolOf(2);
  time_point Now = fill(Pool, 1);
  connection_number Number = *Pool.take();
  pool_actions Actions =
      Pool.giveBack(Number, connection_use_end::InTransaction, Now);
  BOOST_REQUIRE(holdsOne<reset_pooled>(Actions));
  auto Reset = std::get<reset_pooled>(Actions[0]);
  BOOST_REQUIRE(Reset.Statements.size() == 2U);
  BOOST_TEST(Reset.Statements[0].Text == "ROLLBACK");
  BOOST_TEST(!Pool.take().has_value());
  Pool.resetEnded(Number, true, Now);
  BOOST_TEST((Pool.take() == Number));
  Pool.giveBack(Number, connection_use_end::NeedsReset, Now);
  BOOST_TEST(holdsOne<close_pooled>(Pool.resetEnded(Number, false, Now)));
}

// Guards against new work on a backend server that leaves (P11), and against a
// leaving one that is no longer probed.
BOOST_AUTO_TEST_CASE(gives_no_work_to_a_leaving_instance) {
  connection_pool Pool = poolOf(3);
  time_point Now = fill(Pool, 2);
  connection_number Busy = *Pool.take();
  BOOST_TEST(holdsOne<close_pooled>(Pool.setLeaving(true, Now)));
  BOOST_TEST(!Pool.take().has_value());
  BOOST_TEST(holdsOne<close_pooled>(
      Pool.giveBack(Busy, connection_use_end::Clean, Now)));
  BOOST_TEST(Pool.control().has_value());
}

// Guards against idle connections that take from other hosts for ever.
BOOST_AUTO_TEST_CASE(closes_idle_connections_after_their_deadline) {
  connection_pool Pool = poolOf(3);
  time_point Now = fill(Pool, 2);
  Pool.setDemand(0, Now);
  BOOST_TEST(Pool.tick(Now + 59s).empty());
  BOOST_TEST(Pool.tick(Now + 61s).size() == 2U);
  BOOST_TEST(Pool.control().has_value());
}

// Guards, over random events, against a quota that is exceeded or a connection
// that two requests hold.
BOOST_AUTO_TEST_CASE(holds_its_invariants_in_random_runs) {
  random_generator Random(5);
  connection_pool Pool = poolOf(5);
  std::set<connection_number> Held;
  std::vector<connection_number> Opening;
  std::vector<connection_number> Closing;
  for (int Step = 0; Step < 20000; ++Step) {
    time_point Now = Start + Step * 5ms;
    pool_actions Actions = Pool.setDemand(Random.below(8), Now);
    auto Append = [&](const pool_actions &More) {
      Actions.insert(Actions.end(), More.begin(), More.end());
    };
    if (auto Number = Pool.take())
      BOOST_TEST(Held.insert(*Number).second);
    if (!Held.empty() && Random.chance(0.6)) {
      auto End = static_cast<connection_use_end>(Random.below(4));
      Append(Pool.giveBack(*Held.begin(), End, Now));
      Held.erase(Held.begin());
    }
    if (Random.chance(0.01))
      Append(Pool.setLeaving(Random.chance(0.5), Now));
    if (!Opening.empty()) {
      connection_number Number = Opening.back();
      Opening.pop_back();
      Append(Random.chance(0.8) ? Pool.opened(Number, Now)
                                : Pool.closed(Number, Now));
    }
    if (!Closing.empty()) {
      connection_number Number = Closing.back();
      Closing.pop_back();
      Append(Pool.closed(Number, Now));
    }
    for (std::size_t Index = 0; Index < Actions.size(); ++Index) {
      pool_action Action = Actions[Index];
      if (auto *Open = std::get_if<open_pooled>(&Action))
        Opening.push_back(Open->Connection);
      if (auto *Close = std::get_if<close_pooled>(&Action))
        Closing.push_back(Close->Connection);
      if (auto *Reset = std::get_if<reset_pooled>(&Action))
        Append(Pool.resetEnded(Reset->Connection, Random.chance(0.9), Now));
    }
    BOOST_TEST(Pool.size() <= 5U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(owners)

// Guards against owners where they cost more than they save.
BOOST_AUTO_TEST_CASE(are_used_for_many_databases_only) {
  owner_hosts Owners({}, slots(8));
  Owners.setGroups(databases(199));
  BOOST_TEST(!Owners.isEnabled());
  Owners.setGroups(databases(200));
  BOOST_TEST(Owners.isEnabled());
}

// Guards against two hosts with different member lists that together open more
// connections than the instance accepts.
BOOST_AUTO_TEST_CASE(stay_within_the_limit_for_different_member_lists) {
  random_generator Random(6);
  owner_hosts Owners({}, slots(8));
  Owners.setGroups(databases(200));
  for (const group_id &Group : databases(200)) {
    std::set<slot_number> Used;
    for (int View = 0; View < 30; ++View) {
      std::set<slot_number> Live;
      for (slot_number Slot : slots(8))
        if (Random.chance(0.6))
          Live.insert(Slot);
      if (auto Slot = Owners.route(Group, Random(), Live))
        Used.insert(*Slot);
    }
    std::uint32_t Sum = 0;
    for (slot_number Slot : Used) {
      BOOST_TEST(Owners.quota(Group, Slot, 50, 2) > 0U);
      Sum += Owners.quota(Group, Slot, 50, 2);
    }
    constexpr std::uint32_t DomainCount = 3;
    BOOST_TEST(Sum * DomainCount <= 48U);
  }
}

// Guards against a lost host that moves databases which it did not own.
BOOST_AUTO_TEST_CASE(change_only_for_the_databases_of_a_lost_host) {
  owner_hosts Owners({}, slots(8));
  Owners.setGroups(databases(200));
  std::vector<slot_number> All = slots(8);
  std::set<slot_number> Before(All.begin(), All.end());
  std::set<slot_number> After = Before;
  After.erase(3);
  for (const group_id &Group : databases(200)) {
    const std::vector<slot_number> &Chosen = Owners.slotsOf(Group);
    bool IsOwner = Chosen[0] == 3 || Chosen[1] == 3;
    for (std::uint64_t Spread = 0; Spread < 2; ++Spread) {
      auto Old = Owners.route(Group, Spread, Before);
      auto New = Owners.route(Group, Spread, After);
      BOOST_TEST((IsOwner || Old == New));
      BOOST_TEST((New != 3U));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
