#include "radishrelay/daemon/request_forwarder.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay::daemon;
namespace base = radishrelay::base;
namespace fleet = radishrelay::fleet;

/// Records the calls and replies that a forwarder sends.
struct recording_outputs : relay_outputs {
  [[nodiscard]] base::time_point clock() const override { return {}; }
  void answerCaller(http_answer &&) override {}
  bool submitToBackend(radishrelay::backend::backend_command &&) override {
    return true;
  }
  bool submitToPlatform(platform_request &&) override { return true; }
  bool callPeer(peer_call &&Call) override {
    Calls.push_back(std::move(Call));
    return true;
  }
  void sendDatagram(const std::string &, const std::string &) override {}
  void replyToPeer(reply_id, base::json &&Result) override {
    Replies.push_back(std::move(Result));
  }
  void replyToOperator(reply_id, operator_reply &&) override {}
  void publishView(const service_view_ptr &) override {}
  void log(base::log_level, std::string_view, const base::json &) override {}
  void finished() override {}

  std::vector<peer_call> Calls;
  std::vector<base::json> Replies;
};

/// Two hosts; the first forwards a request to the second, 100 ms after the
/// request's arrival and 400 ms before its deadline.
struct forwarding_fixture {
  forwarding_fixture() {
    auto Document = std::make_shared<fleet::configuration_document>();
    Document->SessionKeys.push_back({"s1", "secret"});
    Document->Accounts.push_back({base::account_id("installers"), 1, 1, {}});
    fleet::route Route;
    Route.Name = "file-permit";
    Route.Group = base::group_id("permits");
    Route.Parameters = {"address", "note"};
    Document->Routes.push_back(Route);
    View = *makeServiceView(Document);
    caller_request Request;
    Request.Connection = 5;
    Request.View = View;
    Request.Route = View->Configuration.findRoute("file-permit");
    Request.Key = radishrelay::accounts::verified_key{
        base::account_id("installers"), "k1"};
    Request.Parameters = {"1 Elm St", std::nullopt};
    Request.Session = "token";
    Request.Transaction = "handle";
    Request.ReceivedAt = Now - std::chrono::milliseconds(100);
    Request.Deadline = Now + std::chrono::milliseconds(400);
    Task = request_task_ptr(new request_task(1, std::move(Request)));
    First.send("127.0.0.1:1", Task, Now);
  }

  std::optional<caller_request> acceptOnSecondHost() {
    return Second.accept({7, peer_method::Forward, Sent.Calls[0].Parameters},
                         View, Arrival);
  }

  base::time_point Now = base::fromMicroseconds(1'000'000);
  /// Time of arrival by the second host's clock, which is unrelated to the
  /// first host's.
  base::time_point Arrival = base::fromMicroseconds(90'000'000);
  service_view_ptr View;
  request_task_ptr Task;
  recording_outputs Sent;
  recording_outputs Received;
  request_forwarder First{Sent};
  request_forwarder Second{Received};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_forwarded_request, forwarding_fixture)

// Guards against parameters, accounts or deadlines that change when a request
// is forwarded.
BOOST_AUTO_TEST_CASE(arrives_unchanged) {
  std::optional<caller_request> Request = acceptOnSecondHost();
  BOOST_REQUIRE(Request.has_value());
  BOOST_TEST((Request->account() == base::account_id("installers")));
  BOOST_TEST((Request->Parameters == Task->Request.Parameters));
  BOOST_TEST(Request->Transaction == "handle");
  BOOST_TEST(Request->Session == "token");
  BOOST_TEST(Request->IsForwarded);
  BOOST_TEST((Request->Deadline == Arrival + std::chrono::milliseconds(400)));
}

// Guards against an answer that is sent after its evidence has expired (P2).
BOOST_AUTO_TEST_CASE(gets_its_complete_answer_back) {
  http_answer Answer;
  Answer.Connection = acceptOnSecondHost()->Connection;
  Answer.Headers = {{"Radishrelay-Session", "next"}};
  Answer.Body = "{}";
  Answer.ValidUntil = Arrival + std::chrono::milliseconds(30);
  BOOST_TEST(Second.replyToPeer(Answer, Arrival));
  auto Ended = First.finish({Sent.Calls[0].Id, Received.Replies.at(0)});
  BOOST_REQUIRE(Ended.has_value());
  BOOST_TEST((Ended->Task == Task));
  BOOST_TEST((Ended->Answer.Headers == Answer.Headers));
  BOOST_TEST(Ended->Answer.Body == "{}");
  BOOST_TEST((Ended->Answer.ValidUntil == Now + std::chrono::milliseconds(30)));
}

// Guards against "not run" for a request that the other host may run (P9).
BOOST_AUTO_TEST_CASE(
    has_an_unknown_outcome_when_the_other_host_does_not_answer) {
  base::failure Failure{std::make_error_code(std::errc::timed_out), "call",
                        "127.0.0.1:1", ""};
  auto Ended = First.finish({Sent.Calls[0].Id, Failure});
  BOOST_REQUIRE(Ended.has_value());
  BOOST_TEST(base::json::parse(Ended->Answer.Body)["ran"] == "unknown");
}

// Guards against parameters that are bound to a route whose definition differs
// between the two hosts' configurations.
BOOST_AUTO_TEST_CASE(
    is_refused_by_a_host_with_another_definition_of_the_route) {
  Sent.Calls[0].Parameters["parameters"] = {"1 Elm St"};
  BOOST_TEST(!acceptOnSecondHost().has_value());
  BOOST_TEST(Received.Replies.at(0)["status"] == 404);
}

// Guards against a host that terminates because of a malformed message.
BOOST_AUTO_TEST_CASE(is_refused_when_it_is_malformed) {
  Sent.Calls[0].Parameters.erase("account");
  BOOST_TEST(!acceptOnSecondHost().has_value());
  BOOST_TEST(Received.Replies.at(0)["status"] == 400);
}

BOOST_AUTO_TEST_SUITE_END()
