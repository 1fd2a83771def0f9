#include "support/checked_fleet.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay;
using namespace radishrelay::accounts;
using namespace radishrelay::accounts::fakes;
using namespace std::chrono_literals;

constexpr std::int64_t Rate = 100;
constexpr std::int64_t Burst = 60;
/// Time until all hosts have started and hold their first leases.
constexpr base::duration SettlingTime = 15s;

/// Six hosts in three failure domains, checked against the reference buckets.
struct small_fleet {
  small_fleet() : Checked(1) {
    Fleet.Configuration = {1, 8, 300'000, {}};
    Checked.addAccount("installers", Rate, Burst);
    Checked.addAccount("inspectors", 20, 10);
    for (const char *Domain : {"boston", "hartford", "portland"})
      for (const char *Number : {"1", "2"})
        Fleet.addHost(std::string(Domain) + Number, Domain);
    for (auto &[Id, Host] : Fleet.Hosts)
      Fleet.start(Host);
    Fleet.advance(SettlingTime);
  }

  /// Sends requests at several times the rate of each account for \p Time.
  void overload(base::duration Time) {
    base::time_point End = Fleet.Queue.now() + Time;
    for (auto &[Id, Host] : Fleet.Hosts) {
      Checked.load(Host, "installers", 80, End);
      Checked.load(Host, "inspectors", 20, End);
    }
  }

  fake_fleet::host &host(const std::string &Name) {
    return Fleet.Hosts.at(base::host_id(Name));
  }

  fake_fleet::host &ownerIn(const std::string &Domain) {
    for (const char *Number : {"1", "2"}) {
      fake_fleet::host &Host = host(Domain + Number);
      if (Host.Limiter && shareOn(Host) > 0)
        return Host;
    }
    BOOST_FAIL("no owner in " + Domain);
    return host(Domain + "1");
  }

  /// Applies \p New on one host after another, on all within 4 s.
  void distribute(const limits_configuration &New) {
    std::int64_t Hosts = 0;
    for (auto &Entry : Fleet.Hosts)
      Fleet.Queue.after(600ms * Hosts++, [this, &Host = Entry.second, New] {
        Fleet.configure(Host, New);
      });
  }

  static std::int64_t shareOn(const fake_fleet::host &Host) {
    base::json Shares = Host.Limiter->dump()["shares"];
    return Shares.contains("installers")
               ? Shares["installers"]["share_ppm"].get<std::int64_t>()
               : 0;
  }

  std::int64_t admittedDuring(base::duration Time) {
    std::int64_t Before = Checked.admittedOf("installers");
    Fleet.advance(Time);
    return Checked.admittedOf("installers") - Before;
  }

  checked_fleet Checked;
  fake_fleet &Fleet = Checked.Fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_fleet_above_its_rates, small_fleet)

BOOST_AUTO_TEST_SUITE(in_steady_state)

// Guards against shares that do not reach the host with the demand.
BOOST_AUTO_TEST_CASE(admits_nearly_the_rate_at_a_single_host) {
  base::time_point End = Fleet.Queue.now() + 20s;
  Checked.load(host("boston1"), "installers", 300, End);
  BOOST_TEST(admittedDuring(20s) >= 20 * Rate * 95 / 100);
  BOOST_TEST(Checked.Violation == "");
}

// Guards against a burst that is usable only by all hosts together.
BOOST_AUTO_TEST_CASE(admits_nearly_the_whole_burst_at_a_single_host) {
  for (int Request = 0; Request < Burst * 9 / 10; ++Request)
    Fleet.request(host("boston1"), base::account_id("installers"));
  Fleet.advance(200ms);
  BOOST_TEST(Checked.admittedOf("installers") == Burst * 9 / 10);
  BOOST_TEST(Checked.Violation == "");
}

// Guards against admission of requests of a removed or misspelt account.
BOOST_AUTO_TEST_CASE(refuses_requests_of_unknown_accounts) {
  auto Actions = host("boston1").Limiter->admit(
      1, base::account_id("nobody"), base::time_point::max(),
      Fleet.localTime(host("boston1")));
  auto Decided = std::get<request_decided>(Actions.at(0));
  auto Refused = std::get<refused>(Decided.Admission);
  BOOST_TEST((Refused.Reason == refusal_reason::AccountUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_partitioned)

// Guards against a partitioned domain that keeps using a share that other
// domains have taken over.
BOOST_AUTO_TEST_CASE(stays_within_the_limits_and_reassigns_the_share) {
  overload(30s);
  Fleet.advance(5s);
  Fleet.Partitioned.insert(base::failure_domain_id("boston"));
  Fleet.advance(8s);
  BOOST_TEST(shareOn(host("boston1")) + shareOn(host("boston2")) >= 0);
  std::int64_t Leased =
      shareOn(ownerIn("hartford")) + shareOn(ownerIn("portland"));
  BOOST_TEST(Leased > 700'000);
  Fleet.Partitioned.clear();
  Fleet.advance(10s);
  BOOST_TEST(shareOn(ownerIn("boston")) > 100'000);
  BOOST_TEST(Checked.Violation == "");
}

// Guards against floor shares that stop while the store is down.
BOOST_AUTO_TEST_CASE(keeps_the_floor_shares_without_the_store) {
  overload(40s);
  Fleet.StoreDown = true;
  Fleet.advance(5s);
  // All eight slots entitle to 30 % of the rate; six are claimed.
  std::int64_t Floor = 10 * Rate * 300 / 1000 * 6 / 8;
  BOOST_TEST(admittedDuring(10s) >= Floor * 9 / 10);
  BOOST_TEST(Checked.Violation == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_ownership_is_disputed)

// Guards against an owner that resumes after the end of its lease and keeps
// spending its tokens.
BOOST_AUTO_TEST_CASE(a_paused_owner_spends_no_tokens_of_an_ended_lease) {
  overload(20s);
  Fleet.advance(3s);
  fake_fleet::host &Owner = ownerIn("boston");
  Owner.PausedUntil = Fleet.Queue.now() + 6s;
  Fleet.advance(7s);
  BOOST_TEST(Checked.Violation == "");
  Fleet.advance(5s);
  BOOST_TEST(Checked.Violation == "");
}

// Guards against decisions that are executed after the thread was paused.
BOOST_AUTO_TEST_CASE(a_decision_made_before_a_pause_is_void) {
  Fleet.Faults.Stall = 0.002;
  overload(30s);
  Fleet.advance(30s);
  BOOST_TEST(Checked.Violation == "");
}

// Guards against two hosts with different lists of live hosts that both lease
// the domain's share.
BOOST_AUTO_TEST_CASE(two_lists_of_live_hosts_lead_to_one_owner) {
  overload(25s);
  for (const char *Name : {"boston1", "boston2"})
    Fleet.announceTo(
        host(Name), {{base::host_id(Name), base::failure_domain_id("boston")}});
  for (int Second = 0; Second < 20; ++Second) {
    Fleet.advance(1s);
    bool Both = shareOn(host("boston1")) > 0 && shareOn(host("boston2")) > 0;
    BOOST_TEST(!Both);
  }
  BOOST_TEST(Checked.Violation == "");
}

// Guards against a write that took effect but whose answer was lost, and that
// is repeated or forgotten.
BOOST_AUTO_TEST_CASE(writes_with_lost_answers_are_read_back) {
  overload(30s);
  Fleet.Faults.StoreAnswerLost = 0.4;
  Fleet.advance(25s);
  std::int64_t Leased = shareOn(ownerIn("boston")) +
                        shareOn(ownerIn("hartford")) +
                        shareOn(ownerIn("portland"));
  BOOST_TEST(Leased > 500'000);
  BOOST_TEST(Checked.Violation == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_hosts_restart)

// Guards against a restarted host that has forgotten which tokens it spent and
// starts with full buckets.
BOOST_AUTO_TEST_CASE(a_restarted_host_admits_only_with_borrowed_tokens) {
  overload(30s);
  Fleet.advance(2s);
  Fleet.StoreDown = true;
  Fleet.crash(host("boston1"));
  Fleet.advance(100ms);
  Fleet.start(host("boston1"));
  Fleet.advance(12s);
  BOOST_TEST(
      !host("boston1").Limiter->holdsSlot(Fleet.localTime(host("boston1"))));
  BOOST_TEST(Checked.Violation == "");
}

// Guards against a drain that does not end, or that leaves the slot or the
// share to expire, and against tokens that two hosts can spend during it.
BOOST_AUTO_TEST_CASE(a_rolling_restart_returns_all_leases_and_loans) {
  overload(60s);
  for (auto &[Id, Host] : Fleet.Hosts) {
    Fleet.run(Host, [](account_limiter &Limiter, base::time_point Now) {
      return Limiter.drain(Now);
    });
    Fleet.advance(4s);
    BOOST_TEST(Host.Limiter->drained(Fleet.localTime(Host)));
    Fleet.crash(Host);
    Fleet.advance(200ms);
    Fleet.start(Host);
    Fleet.advance(4s);
  }
  BOOST_TEST(Checked.Violation == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_configuration_changes)

// Guards against hosts that use the larger of the old and new limits while
// other hosts still use the smaller.
BOOST_AUTO_TEST_CASE(admissions_stay_within_the_smaller_of_old_and_new_limits) {
  overload(60s);
  for (auto [NewRate, NewBurst] : {std::pair(250, 90), std::pair(40, 20)}) {
    limits_configuration New = Fleet.Configuration;
    New.Version += 1;
    New.Accounts[0].RatePerSecond = NewRate;
    New.Accounts[0].Burst = NewBurst;
    Checked.MaxBurst =
        std::max(New.Accounts[0].Burst, Fleet.Configuration.Accounts[0].Burst);
    distribute(New);
    Fleet.advance(timing::ConfigurationPhase - 1ms);
    BOOST_TEST(Checked.Violation == "");
    Fleet.Configuration = New;
    Checked.setBound("installers", NewRate, NewBurst);
    Fleet.advance(15s);
    BOOST_TEST(Checked.Violation == "");
  }
}

// Guards against floor shares and leased shares that overlap while the slot
// count and the floor fraction change.
BOOST_AUTO_TEST_CASE(floor_and_leased_shares_do_not_overlap) {
  overload(60s);
  for (auto [Slots, Floor] : {std::pair(12, 600'000), std::pair(6, 200'000)}) {
    Fleet.Configuration.Version += 1;
    Fleet.Configuration.SlotCount = Slots;
    Fleet.Configuration.FloorFraction = Floor;
    distribute(Fleet.Configuration);
    Fleet.advance(20s);
    BOOST_TEST(Checked.Violation == "");
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
