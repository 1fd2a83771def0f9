#include "support/fake_fleet.h"

#include <boost/test/unit_test.hpp>

namespace radishrelay::sessions::tests {

BOOST_AUTO_TEST_SUITE(a_session)

BOOST_AUTO_TEST_SUITE(is_opened)

BOOST_AUTO_TEST_CASE(only_for_a_database_and_a_key_in_the_configuration) {
  fake_fleet Fleet;
  BOOST_TEST(!Fleet.rejection(Fleet.connect("primary")).has_value());
  BOOST_TEST((Fleet.rejection(Fleet.connect("primary", "wrong")) ==
              refusal::UnknownKey));
  BOOST_TEST(
      (Fleet.rejection(Fleet.connect("absent")) == refusal::UnknownDatabase));
  BOOST_TEST(!Fleet.rejection(Fleet.connect("open", "")).has_value());
}

// Guards against statements that run under another name than their account's.
BOOST_AUTO_TEST_CASE(never_for_an_account_that_instances_cannot_be_told) {
  fake_fleet Fleet;
  Fleet.configuration().InadmissibleKeys.insert("key-3");
  Fleet.setCatalog(2);
  for (const char *Database : {"primary", "open"})
    BOOST_TEST((Fleet.rejection(Fleet.connect(Database, "key-3")) ==
                refusal::UnknownKey));
}

BOOST_AUTO_TEST_CASE(
    and_closed_when_its_client_sends_a_statement_before_the_start) {
  fake_fleet Fleet;
  session_number Session{900};
  Fleet.send(Session, "read x");
  BOOST_TEST(Fleet.wasClosed(Session));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a client that goes on in an open transaction with a key that
// the operators have taken away (review/14).
BOOST_AUTO_TEST_SUITE(whose_key_is_withdrawn_in_a_transaction)

struct fixture : fake_fleet {
  fixture() {
    Session = connect("primary");
    ask(Session, "begin");
    ask(Session, "write x 1");
    Requests.clear();
  }

  void withdraw(const std::string &Key = "key-1") {
    configuration().Keys.erase(Key);
    setCatalog(2);
  }

  std::size_t countSent(backend_verb Verb) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        Requests, [&](const auto &Sent) { return Sent.second.Verb == Verb; }));
  }

  session_number Session{};
};

BOOST_FIXTURE_TEST_CASE(is_rolled_back_at_once, fixture) {
  withdraw();
  advanceTime(1ms);
  BOOST_TEST(countSent(backend_verb::Rollback) == 1U);
  BOOST_TEST(answers(Session).empty());
}

BOOST_FIXTURE_TEST_CASE(gets_no_further_statement_run, fixture) {
  withdraw();
  for (const char *Text : {"read x", "write x 2", "commit"})
    BOOST_TEST(ask(Session, Text).Error.has_value());
  BOOST_TEST(countSent(backend_verb::Forward) == 0U);
  BOOST_TEST((ask(Session, "read x").Error == refusal::UnknownKey));
}

BOOST_FIXTURE_TEST_CASE(is_told_so_by_the_next_statement, fixture) {
  withdraw();
  BOOST_TEST((ask(Session, "commit").Error == refusal::UnknownKey));
}

BOOST_FIXTURE_TEST_CASE(gets_the_answer_to_a_statement_that_runs, fixture) {
  send(Session, "write x 2");
  withdraw();
  runHeld();
  BOOST_TEST(!answers(Session).at(0).Error.has_value());
  BOOST_TEST((ask(Session, "commit").Error == refusal::UnknownKey));
}

BOOST_FIXTURE_TEST_CASE(gets_no_statement_run_that_waits_for_an_instance,
                        fixture) {
  session_number Other = connect("primary");
  ask(Other, "begin");
  instance("p").IsUnresponsive = true;
  send(Other, "write x 3"); // waits until the instance has begun
  withdraw();
  std::vector<client_answer> Answers = answers(Other);
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((Answers[0].Error == refusal::UnknownKey));
}

BOOST_FIXTURE_TEST_CASE(is_ended_too_if_the_key_passes_to_another_account,
                        fixture) {
  configuration().Keys["key-1"] = base::account_id("t2");
  setCatalog(2);
  BOOST_TEST((ask(Session, "commit").Error == refusal::UnknownKey));
}

// A transaction keeps the route with which it began, and its key if that
// stands.
BOOST_FIXTURE_TEST_CASE(and_leaves_other_transactions_alone, fixture) {
  session_number Anonymous = connect("open", "");
  ask(Anonymous, "begin");
  configuration().Routes.erase("primary");
  withdraw("key-2");
  BOOST_TEST(!ask(Session, "commit").Error.has_value());
  BOOST_TEST(!ask(Anonymous, "read x").Error.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(runs_statements)

BOOST_AUTO_TEST_CASE(and_returns_the_rows_and_the_receipt_of_the_instance) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  client_answer Answer = Fleet.ask(Session, "write x 1");
  BOOST_TEST(!Answer.Error.has_value());
  BOOST_TEST(servedBy(Answer) == "p");
  BOOST_TEST(Answer.Rows.size() == 1U);
}

BOOST_AUTO_TEST_CASE(one_at_a_time_when_its_client_pipelines_them) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  Fleet.send(Session, "write x 1");
  Fleet.send(Session, "write x 2");
  BOOST_TEST(Fleet.held().size() == 1U);
  Fleet.runHeld();
  BOOST_TEST(Fleet.held().size() == 1U);
  Fleet.runHeld();
  BOOST_TEST(Fleet.answers(Session).size() == 2U);
}

// Guards against a commit that overtakes a write of its transaction because it
// arrives together with an answer.
BOOST_AUTO_TEST_CASE(in_the_order_in_which_its_client_sent_them) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  Fleet.ask(Session, "begin");
  Fleet.send(Session, "write x 1");
  Fleet.send(Session, "write y 1");
  held_statement First = Fleet.held().at(0);
  backend_reply Done;
  Done.HasOutcome = true;
  Done.Receipt = "receipt";
  Done.Phase = session_phase::InTransaction;
  Done.Position = groups::log_position{1, 100};
  // Both events are handled before the engine advances.
  Fleet.engine().backendReplied(First.Connection, Done, Fleet.now());
  Fleet.engine().clientMessage(
      Session, run_statement{"commit", parse("commit")}, Fleet.now());
  Fleet.advanceTime(1ms);
  BOOST_REQUIRE(!Fleet.Requests.empty());
  BOOST_TEST(Fleet.Requests.back().second.Text == "write y 1");
}

BOOST_AUTO_TEST_CASE(on_a_connection_of_its_own_account) {
  fake_fleet Fleet;
  Fleet.ask(Fleet.connect("primary", "key-1"), "write x 1");
  Fleet.send(Fleet.connect("primary", "key-2"), "write x 2");
  BOOST_REQUIRE(Fleet.held().size() == 1U);
  BOOST_TEST(Fleet.Accounts.at(Fleet.held()[0].Connection) ==
             base::account_id("t2"));
}

BOOST_AUTO_TEST_CASE(and_rejects_malformed_ones_and_unknown_prepared_ones) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  BOOST_TEST((Fleet.ask(Session, "nonsense").Error == refusal::Malformed));
  BOOST_TEST((Fleet.ask(Session, "commit").Error == refusal::Malformed));
  BOOST_TEST(
      (Fleet.ask(Session, "execute s1 x").Error == refusal::UnknownName));
  BOOST_TEST(
      (Fleet.ask(Session, "deallocate s1").Error == refusal::UnknownName));
}

BOOST_AUTO_TEST_CASE(only_while_its_key_and_its_route_are_configured) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  BOOST_TEST(!Fleet.ask(Session, "read x").Error.has_value());
  Fleet.configuration().Keys.erase("key-1");
  Fleet.setCatalog(2);
  BOOST_TEST((Fleet.ask(Session, "read x").Error == refusal::UnknownKey));
  Fleet.configuration().Routes.erase("primary");
  Fleet.setCatalog(3);
  BOOST_TEST((Fleet.ask(Session, "read x").Error == refusal::UnknownDatabase));
}

BOOST_AUTO_TEST_CASE(
    under_the_newest_configuration_when_an_older_one_arrives_late) {
  fake_fleet Fleet;
  Fleet.setCatalog(5);
  Fleet.configuration().Keys.erase("key-1");
  Fleet.setCatalog(4);
  session_number Session = Fleet.connect("primary");
  BOOST_TEST(!Fleet.ask(Session, "read x").Error.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(keeps_values_and_prepared_statements)

BOOST_AUTO_TEST_CASE(that_are_set_on_a_connection_before_it_is_used) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  BOOST_TEST(!Fleet.ask(Session, "set zone north").Error.has_value());
  Fleet.Requests.clear();
  Fleet.ask(Session, "read x");
  BOOST_REQUIRE(Fleet.Requests.size() >= 2U);
  BOOST_TEST((Fleet.Requests[0].second.Verb == backend_verb::SetValue));
  BOOST_TEST(Fleet.Requests[0].second.Name == "zone");
  BOOST_TEST(Fleet.Requests[0].second.Text == "north");
}

BOOST_AUTO_TEST_CASE(that_other_sessions_on_the_same_connection_do_not_see) {
  fake_fleet Fleet;
  session_number First = Fleet.connect("primary");
  Fleet.ask(First, "set zone north");
  Fleet.ask(First, "read x");
  Fleet.Requests.clear();
  Fleet.ask(Fleet.connect("primary"), "read y");
  BOOST_REQUIRE(!Fleet.Requests.empty());
  // The read runs on another connection, or on the same one after a reset.
  for (const auto &[Instance, Request] : Fleet.Requests) {
    if (Request.Verb == backend_verb::Reset)
      break;
    BOOST_TEST(
        (Request.Verb != backend_verb::Forward || Fleet.Open.size() > 1));
  }
}

BOOST_AUTO_TEST_CASE(that_do_not_collide_when_two_clients_use_the_same_name) {
  fake_fleet Fleet;
  session_number First = Fleet.connect("primary");
  session_number Second = Fleet.connect("primary");
  Fleet.ask(First, "prepare-read s1 shapeA");
  Fleet.ask(Second, "prepare-read s1 shapeB");
  Fleet.ask(First, "execute s1 x");
  Fleet.Requests.clear();
  Fleet.ask(Second, "execute s1 x");
  BOOST_REQUIRE(Fleet.Requests.size() >= 2U);
  const backend_request &Prepare = Fleet.Requests[0].second;
  const backend_request &Execute = Fleet.Requests[1].second;
  BOOST_TEST((Prepare.Verb == backend_verb::Prepare));
  BOOST_TEST(Prepare.Text == "shapeB");
  BOOST_TEST(Execute.Name == Prepare.Name);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(runs_a_transaction)

BOOST_AUTO_TEST_CASE(on_one_connection_that_no_other_session_uses) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  BOOST_TEST(
      (Fleet.ask(Session, "begin").Phase == session_phase::InTransaction));
  Fleet.ask(Session, "write x 1");
  Fleet.send(Session, "write y 1");
  BOOST_REQUIRE(Fleet.held().size() == 1U);
  backend_number Connection = Fleet.held()[0].Connection;
  session_number Other = Fleet.connect("primary");
  Fleet.send(Other, "read x");
  BOOST_REQUIRE(Fleet.held().size() == 2U);
  BOOST_TEST((Fleet.held()[1].Connection != Connection));
  Fleet.runHeld();
  Fleet.send(Session, "commit");
  BOOST_REQUIRE(Fleet.held().size() == 1U);
  BOOST_TEST((Fleet.held()[0].Connection == Connection));
}

BOOST_AUTO_TEST_CASE(
    whose_first_statement_is_sent_again_when_the_instance_is_busy) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  Fleet.ask(Session, "begin");
  Fleet.send(Session, "write x 1");
  backend_reply Busy;
  Busy.Error = refusal::Busy;
  Busy.Phase = session_phase::FailedTransaction;
  BOOST_REQUIRE(Fleet.held().size() == 1U);
  Fleet.reply(Fleet.held()[0], Busy);
  Fleet.advanceTime(50ms);
  BOOST_REQUIRE(Fleet.held().size() == 1U);
  Fleet.runHeld();
  std::vector<client_answer> Answers = Fleet.answers(Session);
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST(!Answers[0].Error.has_value());
}

BOOST_AUTO_TEST_CASE(that_is_aborted_when_a_later_statement_fails) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  Fleet.ask(Session, "begin");
  Fleet.ask(Session, "write x 1");
  Fleet.send(Session, "write y 1");
  backend_reply Failed;
  Failed.Error = refusal::Failed;
  Failed.Phase = session_phase::FailedTransaction;
  Fleet.reply(Fleet.held().at(0), Failed);
  client_answer Answer = Fleet.answers(Session).at(0);
  BOOST_TEST((Answer.Error == refusal::Aborted));
  BOOST_TEST((Answer.Phase == session_phase::FailedTransaction));
  BOOST_TEST((Fleet.ask(Session, "read x").Error == refusal::Malformed));
  client_answer Commit = Fleet.ask(Session, "commit");
  BOOST_TEST((Commit.Error == refusal::Aborted));
  BOOST_TEST((Commit.Phase == session_phase::Idle));
}

BOOST_AUTO_TEST_CASE(that_is_rolled_back_when_its_client_disconnects) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  Fleet.ask(Session, "begin");
  Fleet.ask(Session, "write x 1");
  Fleet.Requests.clear();
  Fleet.disconnect(Session);
  BOOST_REQUIRE(Fleet.Requests.size() == 1U);
  BOOST_TEST((Fleet.Requests[0].second.Verb == backend_verb::Rollback));
}

BOOST_AUTO_TEST_CASE(that_is_aborted_after_the_idle_timeout) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  Fleet.ask(Session, "begin");
  Fleet.ask(Session, "write x 1");
  Fleet.advanceTime(3500ms);
  // The client has sent no statement, so it must receive no answer.
  BOOST_TEST(Fleet.answers(Session).empty());
  BOOST_TEST((Fleet.ask(Session, "write y 1").Error == refusal::Aborted));
  BOOST_TEST((Fleet.ask(Session, "rollback").Phase == session_phase::Idle));
}

BOOST_AUTO_TEST_CASE(
    under_the_route_with_which_it_began_though_the_route_was_removed) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  Fleet.ask(Session, "begin");
  Fleet.ask(Session, "write x 1");
  Fleet.configuration().Routes.erase("primary");
  Fleet.setCatalog(2);
  BOOST_TEST(!Fleet.ask(Session, "commit").Error.has_value());
  BOOST_TEST((Fleet.ask(Session, "begin").Error == refusal::UnknownDatabase));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a connection that no session owns and no one closes.
BOOST_AUTO_TEST_CASE(that_is_started_twice_gives_its_connection_back) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  Fleet.ask(Session, "begin");
  Fleet.ask(Session, "write x 1");
  Fleet.Requests.clear();
  Fleet.engine().clientMessage(Session, start_session{"primary", "key-1"},
                               Fleet.now());
  Fleet.advanceTime(10ms);
  BOOST_TEST(Fleet.wasClosed(Session));
  BOOST_REQUIRE(!Fleet.Requests.empty());
  BOOST_TEST((Fleet.Requests[0].second.Verb == backend_verb::Rollback));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace radishrelay::sessions::tests
