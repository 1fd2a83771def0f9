#include "support/fake_fleet.h"

#include <boost/test/unit_test.hpp>

namespace radishrelay::sessions::tests {

namespace {

/// Writes every 20 ms for \p Time and returns the longest period without a
/// successful write.
base::duration maxWriteGap(fake_fleet &Fleet, session_number Session,
                           base::duration Time) {
  base::duration MaxGap{};
  base::time_point Last = Fleet.now();
  for (base::time_point End = Fleet.now() + Time; Fleet.now() < End;) {
    if (!Fleet.ask(Session, "write x 1").Error)
      Last = Fleet.now();
    MaxGap = std::max(MaxGap, Fleet.now() - Last);
    Fleet.advanceTime(20ms);
  }
  return MaxGap;
}

bool hasVoted(const fake_fleet &Fleet) {
  return std::ranges::any_of(Fleet.StateChanges, [](const std::string &Line) {
    return Line.find("vote for a promotion") != std::string::npos;
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_group)

BOOST_AUTO_TEST_SUITE(whose_primary_stops_responding)

BOOST_AUTO_TEST_CASE(gets_the_most_advanced_replica_as_its_primary) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  Fleet.ask(Session, "write x 1");
  Fleet.instance("r1").Log = {1, 100};
  Fleet.instance("r2").Log = {1, 101};
  Fleet.instance("p").IsUnresponsive = true;
  base::duration Gap = maxWriteGap(Fleet, Session, 6000ms);
  BOOST_REQUIRE(Fleet.PromotionOrders.size() == 1U);
  BOOST_TEST(Fleet.PromotionOrders[0].first == base::instance_id("r2"));
  BOOST_TEST((Gap < 4000ms));
}

BOOST_AUTO_TEST_CASE(gets_no_new_primary_before_all_leases_have_expired) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  Fleet.ask(Session, "write x 1");
  Fleet.instance("p").IsUnresponsive = true;
  Fleet.send(Session, "write x 2");
  std::optional<base::time_point> FencedAt;
  while (Fleet.PromotionOrders.empty()) {
    Fleet.advanceTime(1ms);
    BOOST_REQUIRE((Fleet.now() < base::fromMicroseconds(20'000'000)));
    bool AreFenced =
        Fleet.instance("r1").Fenced > 0 && Fleet.instance("r2").Fenced > 0;
    if (AreFenced && !FencedAt)
      FencedAt = Fleet.now();
  }
  BOOST_REQUIRE(FencedAt.has_value());
  BOOST_TEST(((Fleet.now() - *FencedAt) >= engine_options{}.LeaseDuration));
}

BOOST_AUTO_TEST_CASE(
    gets_no_new_primary_while_too_few_instances_can_be_fenced) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  Fleet.ask(Session, "write x 1");
  Fleet.instance("p").IsUnresponsive = true;
  Fleet.instance("r1").IsUnresponsive = true;
  maxWriteGap(Fleet, Session, 6000ms);
  BOOST_TEST(Fleet.PromotionOrders.empty());
  Fleet.instance("r1").IsUnresponsive = false;
  maxWriteGap(Fleet, Session, 5000ms);
  BOOST_TEST(Fleet.PromotionOrders.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against commits that are confirmed by an instance which has started
// inside a cut domain, so that a promotion outside does not fence it.
BOOST_AUTO_TEST_SUITE(whose_primary_is_cut_off_together_with_a_host)

struct cut_off_fleet : fake_fleet {
  cut_off_fleet() {
    listings().at(base::instance_id("p")).Domain = base::failure_domain_id("b");
    publishListings();
    Session = connect("primary");
  }

  void cutOff() {
    instance("r1").IsUnresponsive = true;
    instance("r2").IsUnresponsive = true;
  }

  session_number Session{};
};

BOOST_FIXTURE_TEST_CASE(leaves_commits_in_doubt_without_a_listed_replica,
                        cut_off_fleet) {
  configuration().Routes.at("primary").StatementTimeout = 3000ms;
  setCatalog(2);
  BOOST_TEST(!ask(Session, "write x 1").Error.has_value());
  cutOff();
  IsStoreDown = true;
  send(Session, "write x 2");
  BOOST_REQUIRE(held().size() == 1U);
  advanceTime(engine_options{}.LeaseDuration + 100ms);
  runHeld();
  advanceTime(100ms);
  BOOST_TEST(answers(Session).empty());
  advanceTime(3000ms);
  std::vector<client_answer> Answers = answers(Session);
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((Answers[0].Error == refusal::InDoubt));
}

// Guards against a commit that is left in doubt although all instances answer,
// because the lease had run out before it was acknowledged.
BOOST_FIXTURE_TEST_CASE(answers_commits_that_a_listed_replica_has_shown,
                        cut_off_fleet) {
  ask(Session, "begin");
  ask(Session, "write x 1");
  advanceTime(2500ms); // the lease runs out
  send(Session, "commit");
  runHeld();
  advanceTime(200ms);
  std::vector<client_answer> Answers = answers(Session);
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST(!Answers[0].Error.has_value());
}

BOOST_FIXTURE_TEST_CASE(gets_no_writes_until_a_listed_replica_answers,
                        cut_off_fleet) {
  ask(Session, "write x 1");
  cutOff();
  advanceTime(engine_options{}.LeaseDuration + 100ms);
  send(Session, "write x 2");
  BOOST_TEST(held().empty());
  instance("r1").IsUnresponsive = false;
  advanceTime(200ms);
  BOOST_TEST(held().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(goes_on_with_a_slow_commit_while_a_replica_answers,
                        cut_off_fleet) {
  configuration().Routes.at("primary").StatementTimeout = 3000ms;
  setCatalog(2);
  send(Session, "write x 1");
  advanceTime(2500ms);
  BOOST_TEST(answers(Session).empty());
  runHeld();
  BOOST_TEST(!answers(Session).at(0).Error.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against promotions of a group whose primary has too many connections
// for any status call.
BOOST_FIXTURE_TEST_CASE(is_not_lost_while_it_refuses_connections, fake_fleet) {
  session_number Session = connect("primary");
  ask(Session, "read x");
  instance("p").RejectsConnections = true;
  instance("p").RejectsStatusCalls = true;
  for (const auto &[Connection, Instance] : std::map(Open))
    loseConnection(Connection);
  for (int Round = 0; Round < 20; ++Round)
    ask(connect("primary"), "read x");
  BOOST_TEST(PromotionOrders.empty());
  BOOST_TEST(!hasVoted(*this));
}

// Guards against a promotion of a group because no connection was left to ask
// its primary.
BOOST_FIXTURE_TEST_CASE(is_not_lost_while_it_cannot_be_asked, fake_fleet) {
  configuration().Groups.at(base::group_id("g")).ConnectionLimit = 1;
  setCatalog(2);
  instance("p").RejectsStatusCalls = true;
  // Transactions that wait for their clients hold all connections.
  for (int Index = 0; Index < 3; ++Index) {
    session_number Session = connect("primary");
    ask(Session, "begin");
    ask(Session, "write x " + std::to_string(Index));
  }
  for (int Round = 0; Round < 10; ++Round)
    ask(connect("primary"), "read x");
  BOOST_TEST(PromotionOrders.empty());
  BOOST_TEST(!hasVoted(*this));
}

// Guards against an exception when a primary that is no member any more is
// needed. It does not reach the probe that ended a process in a hunt.
BOOST_FIXTURE_TEST_CASE(is_probed_after_its_primary_was_removed, fake_fleet) {
  ask(connect("primary"), "read x");
  listings().erase(base::instance_id("p"));
  publishListings();
  advanceTime(9000ms);
  BOOST_CHECK_NO_THROW(ask(connect("primary"), "read x"));
}

BOOST_AUTO_TEST_SUITE(that_a_replica_has_left)

/// A fleet whose replica r2, in the failure domain c, has announced that it is
/// leaving.
struct leaving_fleet : fake_fleet {
  leaving_fleet() {
    ask(connect("primary"), "write x 1");
    listings().at(R2).Draining = true;
    publishListings();
    advanceTime(engine_options{}.LeavingDuration + 100ms);
    instance("r1").Log = instance("p").Log;
  }

  void endReplica() {
    instance("r2").IsUnresponsive = true;
    listings().erase(R2);
    publishListings();
  }
  void endReplicaAndPrimary() {
    endReplica();
    instance("p").IsUnresponsive = true;
  }

  /// Lists another instance in the failure domain of r2.
  void addNeighbour() {
    instance_listing Neighbour;
    Neighbour.Instance = NeighbourOfR2;
    Neighbour.Group = base::group_id("other");
    Neighbour.Domain = base::failure_domain_id("c");
    listings()[NeighbourOfR2] = Neighbour;
  }

  const base::instance_id NeighbourOfR2{"neighbour"};

  const base::instance_id R2{"r2"};
};

// Guards against a promotion that waits 8 s, the UnlistedLifetime, for a
// replica that has already terminated.
BOOST_AUTO_TEST_CASE(gets_a_new_primary_without_the_replica_that_left) {
  leaving_fleet Fleet;
  Fleet.addNeighbour();
  Fleet.endReplica();
  session_number Session = Fleet.connect("primary");
  maxWriteGap(Fleet, Session, 4500ms);
  Fleet.instance("r1").Log = Fleet.instance("p").Log;
  Fleet.instance("p").IsUnresponsive = true;
  maxWriteGap(Fleet, Session, 3500ms);
  BOOST_REQUIRE(Fleet.PromotionOrders.size() == 1U);
  BOOST_TEST(Fleet.PromotionOrders[0].first == base::instance_id("r1"));
}

// Guards against lost commits: r2 may have been the only replica that had
// received the last ones, and only the primary that stopped with it has them.
BOOST_AUTO_TEST_CASE(gets_no_new_primary_before_r1_is_known_to_hold_the_log) {
  leaving_fleet Fleet;
  Fleet.addNeighbour();
  Fleet.endReplicaAndPrimary();
  session_number Session = Fleet.connect("primary");
  maxWriteGap(Fleet, Session, 6500ms);
  BOOST_TEST(Fleet.PromotionOrders.empty());

  Fleet.instance("p").IsUnresponsive = false;
  Fleet.instance("r1").Log.Offset -= 1;
  maxWriteGap(Fleet, Session, 2000ms);
  BOOST_TEST(!Fleet.ask(Session, "write x 1").Error.has_value());
}

BOOST_AUTO_TEST_CASE(gets_a_new_primary_once_the_old_one_is_lost_for_good) {
  leaving_fleet Fleet;
  Fleet.addNeighbour();
  Fleet.endReplicaAndPrimary();
  Fleet.advanceTime(3000ms);
  Fleet.listings().erase(base::instance_id("p"));
  Fleet.publishListings();
  maxWriteGap(Fleet, Fleet.connect("primary"), 12000ms);
  BOOST_REQUIRE(!Fleet.PromotionOrders.empty());
  BOOST_TEST(Fleet.PromotionOrders[0].first == base::instance_id("r1"));
}

// The entry of r2 may have expired because its failure domain is cut off, where
// it may still acknowledge commits. A promotion without it could lose them.
BOOST_AUTO_TEST_CASE(
    gets_no_new_primary_while_the_domain_of_the_replica_may_be_cut_off) {
  leaving_fleet Fleet;
  Fleet.addNeighbour();
  Fleet.endReplicaAndPrimary();
  maxWriteGap(Fleet, Fleet.connect("primary"), 1000ms);
  Fleet.listings().erase(Fleet.NeighbourOfR2); // expires soon after r2
  Fleet.publishListings();
  maxWriteGap(Fleet, Fleet.connect("primary"), 5500ms);
  BOOST_TEST(Fleet.PromotionOrders.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_primary_is_leaving)

BOOST_AUTO_TEST_CASE(gets_another_primary_without_a_vote) {
  fake_fleet Fleet;
  Fleet.advanceTime(4500ms); // until claims from before the start have expired
  session_number Session = Fleet.connect("primary");
  Fleet.ask(Session, "write x 1");
  Fleet.instance("r1").Log = Fleet.instance("p").Log;
  Fleet.listings().at(base::instance_id("p")).Draining = true;
  Fleet.publishListings();
  base::duration Gap = maxWriteGap(Fleet, Session, 4000ms);
  BOOST_REQUIRE(Fleet.PromotionOrders.size() == 1U);
  BOOST_TEST(Fleet.PromotionOrders[0].first == base::instance_id("r1"));
  BOOST_TEST((Gap < 2500ms));
  BOOST_TEST(servedBy(Fleet.ask(Session, "read x")) == "r1");
}

// Guards against statements that are cut off: the announcement may be as old as
// the outage, and the instance ends LeavingDuration after it.
BOOST_AUTO_TEST_CASE(gets_no_new_work_to_it_late_after_an_outage_of_the_store) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  Fleet.ask(Session, "write x 1");
  Fleet.instance("r1").Log = Fleet.instance("p").Log;
  Fleet.IsStoreDown = true;
  Fleet.listings().at(base::instance_id("p")).Draining = true;
  Fleet.publishListings();
  Fleet.advanceTime(engine_options{}.LeavingDuration);
  Fleet.restoreStore(Fleet.Rows); // defers the promotion
  Fleet.IsStoreDown = false;
  auto IsAnnounced = [&] {
    return std::ranges::any_of(Fleet.StateChanges, [](const std::string &Line) {
      return Line.find("\"draining\":true") != std::string::npos;
    });
  };
  for (int Step = 0; Step < 5000 && !IsAnnounced(); ++Step)
    Fleet.advanceTime(1ms);
  BOOST_REQUIRE(IsAnnounced());
  Fleet.advanceTime(100ms);
  BOOST_REQUIRE(Fleet.PromotionOrders.empty());
  Fleet.Requests.clear();
  Fleet.send(Session, "write x 2");
  Fleet.advanceTime(20ms);
  BOOST_TEST(std::ranges::none_of(Fleet.Requests, [](const auto &Sent) {
    return Sent.first == base::instance_id("p") &&
           Sent.second.Verb == backend_verb::Forward;
  }));
}

// Guards against lost commits: the instance that replaces the leaving primary
// may have started behind the cut and acknowledged commits with it.
BOOST_AUTO_TEST_CASE(
    gets_no_new_primary_if_it_is_cut_off_before_its_successor_is_listed) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  Fleet.ask(Session, "write x 1");
  Fleet.instance("r1").Log = Fleet.instance("p").Log;
  Fleet.listings().at(base::instance_id("p")).Draining = true;
  Fleet.publishListings();
  Fleet.instance("p").IsUnresponsive = true;
  maxWriteGap(Fleet, Session, 3000ms);
  Fleet.listings().erase(base::instance_id("p"));
  Fleet.publishListings();
  maxWriteGap(Fleet, Session, 5000ms);
  BOOST_TEST(Fleet.PromotionOrders.empty());
  maxWriteGap(Fleet, Session, 6000ms);
  BOOST_TEST(Fleet.PromotionOrders.size() == 1U);
}

// Guards against a group without a primary: the host that demoted it has
// stopped before it ordered a promotion, and the instance answers as a replica.
BOOST_AUTO_TEST_CASE(gets_another_one_if_it_was_demoted_and_not_replaced) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  Fleet.ask(Session, "write x 1");
  Fleet.instance("r1").Log = Fleet.instance("p").Log;
  Fleet.listings().at(base::instance_id("p")).Draining = true;
  Fleet.instance("p").Role = groups::instance_role::Replica;
  Fleet.publishListings();
  maxWriteGap(Fleet, Session, 5000ms);
  BOOST_TEST(Fleet.PromotionOrders.size() == 1U);
  BOOST_TEST(!Fleet.ask(Session, "write x 2").Error.has_value());
}

// Guards against hosts that are all started anew after the primary was demoted,
// and wait until the instances with the log have left (review/11).
BOOST_AUTO_TEST_CASE(gets_another_one_if_all_hosts_were_started_anew) {
  fake_fleet Fleet;
  Fleet.ask(Fleet.connect("primary"), "write x 1");
  Fleet.instance("p").Role = groups::instance_role::Replica;
  Fleet.instance("r1").Log = Fleet.instance("p").Log;
  Fleet.instance("r2").Log = {1, 0};
  for (const char *Name : {"p", "r1"})
    Fleet.listings().at(base::instance_id(Name)).Draining = true;
  Fleet.Rows[{"promotions", "g"}] = {
      {"promotions", "g"},
      100,
      {{"holder", "h1/0"}, {"operation", "9"}, {"term", 1}, {"primary", "p"}}};
  Fleet.startHost();
  Fleet.setCatalog(1);
  Fleet.publishListings();
  maxWriteGap(Fleet, Fleet.connect("primary"), 6500ms);
  BOOST_REQUIRE(Fleet.PromotionOrders.size() >= 1U);
  BOOST_TEST((Fleet.PromotionOrders[0].first == base::instance_id("r1") ||
              Fleet.PromotionOrders[0].first == base::instance_id("p")));
}

// Guards against a promotion that waits for the successor of a leaving replica
// although it was listed before the announcement.
BOOST_AUTO_TEST_CASE(
    is_replaced_at_once_if_the_successor_of_a_replica_started_first) {
  fake_fleet Fleet;
  Fleet.advanceTime(4500ms); // until claims from before the start have expired
  session_number Session = Fleet.connect("primary");
  Fleet.ask(Session, "write x 1");
  instance_listing Next = Fleet.listings().at(base::instance_id("r1"));
  Next.Domain = Fleet.listings().at(base::instance_id("r2")).Domain;
  Fleet.listings().erase(Next.Instance);
  Fleet.publishListings();
  Fleet.advanceTime(engine_options{}.UnlistedLifetime + 100ms);
  Fleet.ask(Session, "write x 2");
  Fleet.listings()[Next.Instance] = Next;
  Fleet.publishListings();
  Fleet.advanceTime(500ms);
  Fleet.listings().at(base::instance_id("r2")).Draining = true;
  Fleet.publishListings();
  for (const char *Name : {"r1", "r2"})
    Fleet.instance(Name).Log = Fleet.instance("p").Log;
  Fleet.instance("p").IsUnresponsive = true;
  BOOST_TEST((maxWriteGap(Fleet, Session, 4000ms) < 3500ms));
  BOOST_TEST(Fleet.PromotionOrders.size() == 1U);
}

BOOST_AUTO_TEST_CASE(
    is_not_promoted_again_by_a_host_that_sees_the_listing_late) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  Fleet.ask(Session, "write x 1");
  Fleet.advanceTime(6000ms);
  // Another host has promoted r1 before this host sees the listing.
  Fleet.instance("p").Role = groups::instance_role::Replica;
  Fleet.instance("r1").Role = groups::instance_role::Primary;
  Fleet.instance("r1").Log = {2, 101};
  Fleet.instance("p").Log = {1, 101};
  Fleet.listings().at(base::instance_id("p")).Draining = true;
  Fleet.publishListings();
  Fleet.advanceTime(6000ms);
  BOOST_TEST(Fleet.PromotionOrders.empty());
  BOOST_TEST(Fleet.instance("r2").Fenced == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace radishrelay::sessions::tests
