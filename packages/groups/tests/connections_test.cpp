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

connection_pool makePool(std::uint32_t Quota) {
  connection_pool_options Options;
  Options.Quota = Quota;
  return connection_pool(Options);
}

/// Opens the connections that the pool asks for in ten steps of 10 ms, and
/// returns the time after the last one.
time_point openConnections(connection_pool &Pool, std::size_t Demand) {
  time_point Now = Start;
  for (int Round = 0; Round < 10; ++Round, Now += 10ms)
    for (const pool_action &Action : Pool.setDemand(Demand, Now))
      Pool.opened(std::get<open_pooled_connection>(Action).Connection, Now);
  return Now;
}

template <typename Action> bool isSingleAction(const pool_actions &Actions) {
  return Actions.size() == 1 && std::holds_alternative<Action>(Actions[0]);
}

std::vector<group_id> makeDatabases(int Count) {
  std::vector<group_id> Groups;
  for (int Index = 0; Index < Count; ++Index)
    Groups.emplace_back("db-" + std::to_string(Index));
  return Groups;
}

std::vector<slot_number> makeSlots(slot_number Count) {
  std::vector<slot_number> Numbers(Count);
  for (slot_number Slot = 0; Slot < Count; ++Slot)
    Numbers[Slot] = Slot;
  return Numbers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(connections)

BOOST_AUTO_TEST_SUITE(connection_pools)

// Guards against opening more connections from all hosts together than the
// instance accepts.
BOOST_AUTO_TEST_CASE(stay_within_the_quota) {
  BOOST_TEST(connectionQuota(50, 2, 24) == 2U);
  BOOST_TEST(connectionQuota(150, 2, 24) == 6U);
  BOOST_TEST(connectionQuota(2, 2, 24) == 0U);
  connection_pool Pool = makePool(4);
  openConnections(Pool, 100);
  BOOST_TEST(Pool.size() == 4U);
}

// Guards against probes that wait behind requests, which makes the primary look
// as if it had failed.
BOOST_AUTO_TEST_CASE(reserve_one_connection_for_probes) {
  connection_pool Pool = makePool(2);
  openConnections(Pool, 100);
  std::optional<connection_number> Work = Pool.acquire();
  BOOST_REQUIRE(Work.has_value());
  BOOST_TEST(!Pool.acquire().has_value());
  BOOST_REQUIRE(Pool.control().has_value());
  BOOST_TEST(*Pool.control() != *Work);
}

// Guards against opening many connections at once after a failover.
BOOST_AUTO_TEST_CASE(open_one_connection_per_interval) {
  connection_pool Pool = makePool(6);
  BOOST_TEST(Pool.setDemand(100, Start).size() == 1U);
  BOOST_TEST(Pool.tick(Start + 9ms).empty());
  BOOST_TEST((Pool.nextDeadline() == Start + 10ms));
  BOOST_TEST(Pool.tick(Start + 10ms).size() == 1U);
}

// Guards against overloading an instance that refuses connections with
// repeated attempts.
BOOST_AUTO_TEST_CASE(back_off_after_failed_connection_attempts) {
  connection_pool Pool = makePool(2);
  int Attempts = 0;
  for (int Step = 0; Step < 5000; ++Step) {
    time_point Now = Start + Step * 1ms;
    for (const pool_action &Action : Pool.setDemand(1, Now)) {
      ++Attempts;
      Pool.closed(std::get<open_pooled_connection>(Action).Connection, Now);
    }
  }
  BOOST_TEST(Attempts < 60);
  BOOST_TEST(Attempts > 5);
}

// Guards against delivering a late answer to the next request on the same
// connection (P8).
BOOST_AUTO_TEST_CASE(never_reuse_an_uncertain_connection) {
  connection_pool Pool = makePool(2);
  time_point Now = openConnections(Pool, 1);
  connection_number Number = *Pool.acquire();
  BOOST_TEST(isSingleAction<close_pooled_connection>(
      Pool.release(Number, connection_release_state::Uncertain, Now)));
  BOOST_TEST(!Pool.acquire().has_value());
  BOOST_TEST(Pool.size() == 2U);
  Pool.closed(Number, Now);
  BOOST_TEST(!Pool.acquire().has_value());
}

// Guards against leaking a transaction or a session setting to another client
// (P3).
BOOST_AUTO_TEST_CASE(reset_a_connection_before_its_reuse) {
  connection_pool Pool = makePool(2);
  time_point Now = openConnections(Pool, 1);
  connection_number Number = *Pool.acquire();
  pool_actions Actions =
      Pool.release(Number, connection_release_state::InTransaction, Now);
  BOOST_REQUIRE(isSingleAction<reset_pooled_connection>(Actions));
  auto Reset = std::get<reset_pooled_connection>(Actions[0]);
  BOOST_REQUIRE(Reset.Statements.size() == 2U);
  BOOST_TEST(Reset.Statements[0].Text == "ROLLBACK");
  BOOST_TEST(!Pool.acquire().has_value());
  Pool.resetEnded(Number, true, Now);
  BOOST_TEST((Pool.acquire() == Number));
  Pool.release(Number, connection_release_state::NeedsReset, Now);
  BOOST_TEST(isSingleAction<close_pooled_connection>(
      Pool.resetEnded(Number, false, Now)));
}

// Guards against sending new requests to a backend server that leaves its group
// (P11), and against no longer probing it.
BOOST_AUTO_TEST_CASE(give_no_work_connection_to_a_leaving_instance) {
  connection_pool Pool = makePool(3);
  time_point Now = openConnections(Pool, 2);
  connection_number Busy = *Pool.acquire();
  BOOST_TEST(
      isSingleAction<close_pooled_connection>(Pool.setLeaving(true, Now)));
  BOOST_TEST(!Pool.acquire().has_value());
  BOOST_TEST(isSingleAction<close_pooled_connection>(
      Pool.release(Busy, connection_release_state::Clean, Now)));
  BOOST_TEST(Pool.control().has_value());
}

// Guards against holding idle connections forever, which takes connections from
// other hosts.
BOOST_AUTO_TEST_CASE(close_idle_connections_after_their_lifetime) {
  connection_pool Pool = makePool(3);
  time_point Now = openConnections(Pool, 2);
  Pool.setDemand(0, Now);
  BOOST_TEST(Pool.tick(Now + 59s).empty());
  BOOST_TEST(Pool.tick(Now + 61s).size() == 2U);
  BOOST_TEST(Pool.control().has_value());
}

// Guards against exceeding the quota, and against giving one connection to two
// requests, over random events.
BOOST_AUTO_TEST_CASE(keep_quota_and_exclusive_use_under_random_events) {
  random_generator Random(5);
  connection_pool Pool = makePool(5);
  std::set<connection_number> Held;
  std::vector<connection_number> Opening;
  std::vector<connection_number> Closing;
  for (int Step = 0; Step < 20000; ++Step) {
    time_point Now = Start + Step * 5ms;
    pool_actions Actions = Pool.setDemand(Random.below(8), Now);
    auto Append = [&](const pool_actions &More) {
      Actions.insert(Actions.end(), More.begin(), More.end());
    };
    if (auto Number = Pool.acquire())
      BOOST_TEST(Held.insert(*Number).second);
    if (!Held.empty() && Random.chance(0.6)) {
      auto End = static_cast<connection_release_state>(Random.below(4));
      Append(Pool.release(*Held.begin(), End, Now));
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
      if (auto *Open = std::get_if<open_pooled_connection>(&Action))
        Opening.push_back(Open->Connection);
      if (auto *Close = std::get_if<close_pooled_connection>(&Action))
        Closing.push_back(Close->Connection);
      if (auto *Reset = std::get_if<reset_pooled_connection>(&Action))
        Append(Pool.resetEnded(Reset->Connection, Random.chance(0.9), Now));
    }
    BOOST_TEST(Pool.size() <= 5U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(owner_hosts_of_databases)

// Guards against using owner hosts where they cost more than they save.
BOOST_AUTO_TEST_CASE(are_enabled_from_200_databases) {
  owner_hosts Owners({}, makeSlots(8));
  Owners.setGroups(makeDatabases(199));
  BOOST_TEST(!Owners.isEnabled());
  Owners.setGroups(makeDatabases(200));
  BOOST_TEST(Owners.isEnabled());
}

// Guards against hosts with different member lists that together open more
// connections than the instance accepts.
BOOST_AUTO_TEST_CASE(keep_the_connection_limit_with_different_member_lists) {
  random_generator Random(6);
  owner_hosts Owners({}, makeSlots(8));
  Owners.setGroups(makeDatabases(200));
  for (const group_id &Group : makeDatabases(200)) {
    std::set<slot_number> Used;
    for (int View = 0; View < 30; ++View) {
      std::set<slot_number> Live;
      for (slot_number Slot : makeSlots(8))
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

// Guards against moving databases that a lost host did not own.
BOOST_AUTO_TEST_CASE(change_only_for_the_databases_of_a_lost_host) {
  owner_hosts Owners({}, makeSlots(8));
  Owners.setGroups(makeDatabases(200));
  std::vector<slot_number> All = makeSlots(8);
  std::set<slot_number> Before(All.begin(), All.end());
  std::set<slot_number> After = Before;
  After.erase(3);
  for (const group_id &Group : makeDatabases(200)) {
    const std::vector<slot_number> &Chosen = Owners.slotsOf(Group);
    bool IsOwner = Chosen[0] == 3 || Chosen[1] == 3;
    for (std::uint64_t SelectionHash = 0; SelectionHash < 2; ++SelectionHash) {
      auto Old = Owners.route(Group, SelectionHash, Before);
      auto New = Owners.route(Group, SelectionHash, After);
      BOOST_TEST((IsOwner || Old == New));
      BOOST_TEST((New != 3U));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
