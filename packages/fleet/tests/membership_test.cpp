#include "radishrelay/fleet/drain.h"
#include "radishrelay/fleet/membership.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay;
using namespace radishrelay::fleet;
using namespace std::chrono_literals;

const base::failure_domain_id Boston("boston");

member_update host(int Number, const char *Domain = "boston") {
  std::string Name = "host-" + std::to_string(Number);
  return {base::host_id(Name), base::failure_domain_id(Domain),
          "127.0.0.1:" + std::to_string(6000 + Number), 1, member_state::Live};
}

/// Memberships that exchange packets without delay. Packets from and to the
/// addresses in Isolated, and from the first to the second address of a pair in
/// BlockedPaths, are lost.
struct fixture {
  base::time_point Now = base::fromMicroseconds(1'000'000);
  std::map<std::string, std::unique_ptr<membership>> Hosts;
  std::set<std::string> Isolated;
  std::set<std::pair<std::string, std::string>> BlockedPaths;

  void add(const member_update &Self) {
    auto Host = std::make_unique<membership>(Self, Hosts.size() + 1);
    Host->setJoinAddresses({"127.0.0.1:6001"});
    Hosts[Self.Address] = std::move(Host);
  }
  void execute(const std::string &From, const membership_actions &Actions) {
    for (const membership_action &Action : Actions)
      if (const auto *Packet = std::get_if<send_packet>(&Action))
        deliver(From, *Packet);
  }
  void deliver(const std::string &From, const send_packet &Packet) {
    bool Lost = Isolated.contains(From) || Isolated.contains(Packet.Address) ||
                BlockedPaths.contains({From, Packet.Address}) ||
                !Hosts.contains(Packet.Address);
    if (Lost)
      return;
    std::string Bytes = encodeMessage(Packet.Message);
    BOOST_TEST(Bytes.size() <= MaxPacketBytes);
    execute(Packet.Address,
            Hosts[Packet.Address]->onMessage(*decodeMessage(Bytes), From, Now));
  }
  void run(base::duration Duration) {
    base::time_point End = Now + Duration;
    for (; Now < End; Now += 50ms)
      for (auto &[Address, Host] : Hosts)
        execute(Address, Host->tick(Now));
  }
  membership &at(int Number) { return *Hosts.at(host(Number).Address); }
  member_state state(int Viewer, int Number) {
    return at(Viewer).find(host(Number).Host)->State;
  }
  void addFive() {
    for (int Number = 1; Number <= 5; ++Number)
      add(host(Number));
    run(5s);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(membership_of_a_domain, fixture)

BOOST_AUTO_TEST_CASE(hosts_with_one_join_address_discover_each_other) {
  addFive();
  for (int Viewer = 1; Viewer <= 5; ++Viewer)
    BOOST_TEST(at(Viewer).liveHosts(Boston).size() == 5U);
}

BOOST_AUTO_TEST_SUITE(failures)

BOOST_AUTO_TEST_CASE(an_unreachable_host_is_suspected_and_then_gone) {
  addFive();
  Isolated.insert(host(5).Address);
  run(3s);
  BOOST_TEST((state(1, 5) >= member_state::Suspected));
  BOOST_TEST(at(1).liveHosts(Boston).size() == 4U);
  run(5s);
  for (int Viewer = 1; Viewer <= 4; ++Viewer)
    BOOST_TEST((state(Viewer, 5) == member_state::Gone));
}

// Guards against removing a live host because one network path is broken.
BOOST_AUTO_TEST_CASE(indirect_probes_keep_a_host_behind_a_broken_path_live) {
  addFive();
  BlockedPaths = {{host(1).Address, host(5).Address},
                  {host(5).Address, host(1).Address}};
  for (int Step = 0; Step < 200; ++Step) {
    run(100ms);
    BOOST_TEST((state(1, 5) == member_state::Live));
  }
}

// Guards against a suspicion that the live host cannot refute.
BOOST_AUTO_TEST_CASE(a_suspected_host_refutes_with_a_higher_incarnation) {
  addFive();
  member_update Suspicion = host(5);
  Suspicion.State = member_state::Suspected;
  at(1).onMessage({host(2).Host, 1, ping_message{1, 5, {}, {Suspicion}}},
                  host(2).Address, Now);
  BOOST_TEST((state(1, 5) == member_state::Suspected));
  run(2500ms);
  BOOST_TEST((state(1, 5) == member_state::Live));
  BOOST_TEST(at(1).find(host(5).Host)->Incarnation == 2U);
}

// Guards against a host that stays gone because neither side of a healed
// partition pings the other.
BOOST_AUTO_TEST_CASE(a_host_becomes_live_again_after_a_partition) {
  addFive();
  Isolated.insert(host(5).Address);
  run(10s);
  Isolated.clear();
  run(60s);
  BOOST_TEST((state(1, 5) == member_state::Live));
  BOOST_TEST(at(5).liveHosts(Boston).size() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(planned_shutdowns)

BOOST_AUTO_TEST_CASE(a_leaving_host_is_not_listed_as_live) {
  addFive();
  execute(host(5).Address, at(5).announce(member_state::Leaving, Now));
  for (int Viewer = 1; Viewer <= 4; ++Viewer)
    BOOST_TEST((state(Viewer, 5) == member_state::Leaving));
  BOOST_TEST(at(1).liveHosts(Boston).size() == 4U);
}

// Guards against removing a restarted host because the platform's list lags
// behind and still shows its previous incarnation as leaving.
BOOST_AUTO_TEST_CASE(a_leaving_entry_applies_only_to_the_listed_incarnation) {
  addFive();
  std::vector<base::listed_host> List{
      {"host-5", base::listed_host_state::Leaving},
      {"127.0.0.1:5501", base::listed_host_state::Leaving}};
  at(1).onListedHosts(List, Now);
  BOOST_TEST((state(1, 5) == member_state::Leaving));
  BOOST_TEST(at(1).isServerLeaving("127.0.0.1:5501"));
  member_update Restarted = host(5);
  Restarted.Incarnation = 9;
  at(1).onMessage({host(5).Host, 9, ping_message{1, 5, {}, {Restarted}}},
                  host(5).Address, Now);
  at(1).onListedHosts(List, Now);
  BOOST_TEST((state(1, 5) == member_state::Live));
  at(1).onListedHosts({}, Now);
  BOOST_TEST(!at(1).isServerLeaving("127.0.0.1:5501"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(other_domains)

BOOST_AUTO_TEST_CASE(witnesses_exchange_summaries) {
  addFive();
  for (int Number = 6; Number <= 8; ++Number)
    add(host(Number, "hartford"));
  for (auto &[Address, Host] : Hosts)
    Host->setWitnesses({host(1).Host, host(6).Host});
  run(30s);
  BOOST_TEST(at(3).liveHosts(base::failure_domain_id("hartford")).size() == 3U);
  BOOST_TEST(at(8).liveHosts(Boston).size() == 5U);
  for (int Number = 6; Number <= 8; ++Number)
    Isolated.insert(host(Number).Address);
  run(6s);
  BOOST_TEST(
      !at(1).isDomainReachable(base::failure_domain_id("hartford"), Now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(packets)

// Guards against a malformed packet that terminates the process.
BOOST_AUTO_TEST_CASE(malformed_packets_are_rejected) {
  std::string Whole = encodeMessage(
      {host(1).Host, 1, ping_message{1, 5, {7, 8, true, 9us}, {host(2)}}});
  for (std::size_t Length = 0; Length < Whole.size(); ++Length)
    BOOST_TEST(!decodeMessage(Whole.substr(0, Length)));
  BOOST_TEST(!decodeMessage(encodeMessage(
      {host(1).Host, 1,
       ping_message{
           1,
           5,
           {},
           {{host(2).Host, Boston, "", 1, static_cast<member_state>(9)}}}})));
}

BOOST_AUTO_TEST_CASE(decoding_restores_the_encoded_message) {
  evidence_answer Answer{7, 8, true, 9us};
  for (const membership_body &Body : std::vector<membership_body>{
           ping_message{1, 2, Answer, {host(1)}},
           ack_message{1, host(1).Host, {}, {host(2)}},
           probe_message{1, host(1).Host, "127.0.0.1:1"},
           summary_message{Boston, Answer, {}}, version_query{3},
           version_reply{3, Answer}}) {
    membership_message Message{host(1).Host, 4, Body};
    BOOST_TEST((*decodeMessage(encodeMessage(Message)) == Message));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(drain_of_a_host)

// Guards against a planned shutdown that interrupts a request.
BOOST_AUTO_TEST_CASE(waits_for_the_load_balancer_and_for_running_work) {
  base::time_point Now;
  drain Drain;
  BOOST_TEST((Drain.start(Now) == drain_actions{disable_readiness{}}));
  BOOST_TEST(Drain.start(Now).empty());
  Drain.onRunning(2, Now);
  BOOST_TEST(Drain.tick(Now + 4s).empty());
  BOOST_TEST(Drain.acceptsWork());
  drain_actions Refuse{refuse_new_work{}, return_loans{}, transfer_shares{}};
  BOOST_TEST((Drain.tick(Now + 5s) == Refuse));
  BOOST_TEST(Drain.onHandedOver(Now + 6s).empty());
  BOOST_TEST(Drain.onRunning(1, Now + 7s).empty());
  BOOST_TEST((Drain.onRunning(0, Now + 8s) == drain_actions{stop_process{}}));
}

// Guards against a drain that never ends because a request does not finish.
BOOST_AUTO_TEST_CASE(aborts_running_work_only_at_the_deadline) {
  base::time_point Now;
  drain Drain;
  Drain.start(Now);
  Drain.onRunning(1, Now);
  Drain.tick(Now + 5s);
  BOOST_TEST(Drain.tick(Now + 69s).empty());
  drain_actions End{abort_running_work{}, stop_process{}};
  BOOST_TEST((Drain.tick(Now + 70s) == End));
}

// Guards against a drain that never ends because the hand-over is not
// confirmed.
BOOST_AUTO_TEST_CASE(stops_at_the_deadline_of_an_unfinished_hand_over) {
  base::time_point Now;
  drain Drain;
  Drain.start(Now);
  BOOST_TEST(Drain.tick(Now + 5s).size() == 3U);
  BOOST_TEST(Drain.tick(Now + 9s).empty());
  BOOST_TEST((Drain.tick(Now + 10s) == drain_actions{stop_process{}}));
}

BOOST_AUTO_TEST_SUITE_END()
