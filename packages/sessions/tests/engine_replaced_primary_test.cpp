#include "support/fake_fleet.h"

#include <boost/test/unit_test.hpp>

namespace radishrelay::sessions::tests {

BOOST_AUTO_TEST_SUITE(a_group)

BOOST_AUTO_TEST_SUITE(whose_primary_was_replaced)

/// A fleet in which r1 leads term 2 and does not answer status calls. The old
/// primary p goes on, and r2 has not heard of the promotion.
struct replaced_fleet : fake_fleet {
  replaced_fleet() {
    ask(connect("primary"), "write x 1");
    instance("r2").Log = instance("p").Log;
  }

  void replace() {
    instance("r1").Role = groups::instance_role::Primary;
    instance("r1").Log = {2, 101};
    instance("r1").RejectsStatusCalls = true;
    Rows[{"promotions", "g"}] = {{"promotions", "g"},
                                 100,
                                 {{"holder", "h2/1"},
                                  {"operation", "9"},
                                  {"term", 1},
                                  {"instance", "r1"},
                                  {"done", true},
                                  {"announced_term", 2}}};
  }

  bool hasReached(const std::string &Name, const std::string &Statement) const {
    return std::ranges::any_of(Requests, [&](const auto &Sent) {
      return Sent.first == base::instance_id(Name) &&
             Sent.second.Verb == backend_verb::Forward &&
             Sent.second.Text == Statement;
    });
  }
};

// Guards against writes that are acknowledged by the old primary and lost once
// the promoted instance, whose entry has expired, is back (review/8).
BOOST_FIXTURE_TEST_CASE(is_not_served_by_the_old_one_on_a_host_that_starts,
                        replaced_fleet) {
  replace();
  instance("r1").IsUnresponsive = true;
  listings().erase(base::instance_id("r1"));
  startHost();
  setCatalog(1);
  publishListings();
  advanceTime(2000ms);
  BOOST_TEST((ask(connect("primary"), "write x 2").Error == refusal::Busy));
  BOOST_TEST((ask(connect("primary"), "read x").Error == refusal::Busy));
  BOOST_TEST(!hasReached("p", "write x 2"));
  BOOST_TEST(!hasReached("p", "read x"));
}

// Guards against stale reads on a host that reaches the old primary while the
// promoted instance is too busy for status calls: a replica that was deaf is no
// longer fenced and has not heard of the new term (review/9).
BOOST_FIXTURE_TEST_CASE(is_not_read_from_after_the_fences_are_gone,
                        replaced_fleet) {
  instance("r1").Fenced = 2;
  instance("r2").Fenced = 2;
  for (int Read = 0; Read < 10; ++Read) {
    ask(connect("primary"), "read x");
    advanceTime(100ms);
  }
  replace();
  instance("r2").Fenced = 0;
  Requests.clear();
  ask(connect("primary"), "read x 2");
  BOOST_TEST(!hasReached("p", "read x 2"));
}

// Guards against commits of the old primary, confirmed by a replica that has
// not heard of the promotion, of which clients are told.
BOOST_FIXTURE_TEST_CASE(leaves_a_commit_on_the_old_one_in_doubt,
                        replaced_fleet) {
  send(connect("primary"), "read x");
  runHeld();
  advanceTime(5000ms); // the lease runs out
  session_number Session = connect("primary");
  replace();
  instance("p").RejectsStatusCalls = true;
  send(Session, "write x 2");
  BOOST_REQUIRE(held().size() == 1U);
  runHeld();
  advanceTime(200ms);
  std::vector<client_answer> Answers = answers(Session);
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((Answers[0].Error == refusal::InDoubt));
}

/// The same group without synchronous replicas, with a transaction whose lease
/// has run out.
struct unreplicated_fleet : replaced_fleet {
  unreplicated_fleet() {
    configuration().Groups.at(base::group_id("g")).SyncReplicas = 0;
    configuration().TransactionIdleTimeout = 10000ms;
    setCatalog(2);
    Session = connect("primary");
    ask(Session, "begin");
    ask(Session, "write x 2");
    advanceTime(5000ms);
  }

  client_answer commit() {
    send(Session, "commit");
    runHeld();
    advanceTime(1500ms);
    std::vector<client_answer> Answers = answers(Session);
    BOOST_REQUIRE(Answers.size() == 1U);
    return Answers[0];
  }

  session_number Session{};
};

// Guards against commits of the old primary that were answered without a look
// at the lease (review/13).
BOOST_FIXTURE_TEST_CASE(leaves_one_in_doubt_without_synchronous_replicas,
                        unreplicated_fleet) {
  replace();
  BOOST_TEST((commit().Error == refusal::InDoubt));
}

BOOST_FIXTURE_TEST_CASE(answers_one_without_synchronous_replicas_if_it_leads,
                        unreplicated_fleet) {
  BOOST_TEST(!commit().Error.has_value());
}

BOOST_FIXTURE_TEST_CASE(answers_a_commit_once_the_claim_can_be_read,
                        replaced_fleet) {
  advanceTime(5000ms); // the lease runs out
  for (const char *Name : {"p", "r1", "r2"})
    instance(Name).RejectsStatusCalls = true;
  IsStoreDown = true;
  session_number Session = connect("primary");
  send(Session, "write x 2");
  runHeld();
  advanceTime(200ms);
  BOOST_TEST(answers(Session).empty());
  IsStoreDown = false;
  advanceTime(200ms);
  std::vector<client_answer> Answers = answers(Session);
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST(!Answers[0].Error.has_value());
}

// Guards against an interruption of service while the store is away.
BOOST_FIXTURE_TEST_CASE(
    or_not_is_shown_by_all_instances_while_the_store_is_away, replaced_fleet) {
  advanceTime(5000ms); // the lease runs out
  IsStoreDown = true;
  BOOST_TEST(!ask(connect("primary"), "write x 2").Error.has_value());
  BOOST_TEST(!ask(connect("primary"), "read x").Error.has_value());
  advanceTime(5000ms);
  instance("r1").IsUnresponsive = true;
  BOOST_TEST(!ask(connect("primary"), "read x").Error.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace radishrelay::sessions::tests
