#include "load_history.h"
#include "load_measures.h"
#include "load_runner.h"

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace radishrelay;
using namespace radishrelay::cli;
using namespace radishrelay::cli::tests;
using groups::ran_state;

namespace {

constexpr base::duration Length = std::chrono::seconds(1);

/// Gives prepared answers and keeps the calls.
class scripted_client final : public route_client {
public:
  scripted_client(std::deque<route_answer> Answers,
                  std::vector<route_call> &Calls)
      : Answers(std::move(Answers)), Calls(Calls) {}

  route_answer call(const route_call &Call) override {
    Calls.push_back(Call);
    if (Answers.empty())
      return {};
    route_answer Answer = Answers.front();
    Answers.pop_front();
    return Answer;
  }

private:
  std::deque<route_answer> Answers;
  std::vector<route_call> &Calls;
};

/// Runs the first request of a load of one kind against the answers.
std::vector<route_call> callsFor(double Keyed,
                                 const std::deque<route_answer> &Answers,
                                 request_record &First) {
  runner_options Options;
  Options.Arrivals.RatePerSecond = {1000};
  Options.Arrivals.Length = std::chrono::milliseconds(10);
  Options.Arrivals.Hosts = 3;
  Options.Arrivals.KeyedAmongWrites = Keyed;
  Options.Accounts = {{"installers", 1000, 1000, 1000, "key"}};
  std::vector<route_call> Calls;
  load_runner Runner(Options, [&] {
    return std::make_unique<scripted_client>(Answers, Calls);
  });
  Runner.start();
  First = Runner.finish().at(0);
  std::erase_if(Calls,
                [&](const route_call &Call) { return Call.Id != First.Id; });
  return Calls;
}

} // namespace

BOOST_AUTO_TEST_SUITE(measures_of_a_run)

/// Guards against a gap that is missed at the start or the end of the run: the
/// writes end at 10, 210, 410, 610 and 810 ms of 1 s.
BOOST_AUTO_TEST_CASE(have_the_longest_write_gap) {
  load_history History = soundHistory();
  BOOST_TEST(measureLoad(History, 1, Length).longestWriteGap().count() ==
             200000);
  refuse(History.Records[8], 503, ran_state::No);
  BOOST_TEST(measureLoad(History, 1, Length).longestWriteGap().count() ==
             390000);
}

/// Guards against counting as refused what had to be refused.
BOOST_AUTO_TEST_CASE(count_refusals_within_the_rate_only) {
  load_history History = soundHistory();
  History.Accounts[0].RatePerSecond = 0;
  History.Accounts[0].Burst = 4;
  for (std::size_t Index = 4; Index < History.Records.size(); ++Index)
    refuse(History.Records[Index], 429, ran_state::No);
  load_measures Measures = measureLoad(History, 1, Length);
  BOOST_TEST(Measures.refusalShare() == 0.0);
  BOOST_TEST(Measures.worstServed() == 1.0);
  refuse(History.Records[0], 429, ran_state::No);
  Measures = measureLoad(History, 1, Length);
  BOOST_TEST(Measures.refusalShare() == 0.25);
  BOOST_TEST(Measures.worstServed() == 0.75);
}

/// Guards against a load tool that is itself the bottleneck unnoticed.
BOOST_AUTO_TEST_CASE(count_requests_that_were_sent_late) {
  load_history History = soundHistory();
  History.Records[2].Sent += std::chrono::milliseconds(60);
  BOOST_TEST(measureLoad(History, 1, Length).SentLate == 1U);
}

/// Guards against strict reads, which only a primary may answer, in the share.
BOOST_AUTO_TEST_CASE(count_replicas_among_reads_that_accept_an_age) {
  load_history History = soundHistory();
  History.Records[1].ServedBy = "permits-2; role=replica";
  History.Records[3].ServedBy = "permits-1; role=primary";
  for (std::size_t Index : {5, 7, 9})
    History.Records[Index].Plan.Kind = request_kind::StrictRead;
  BOOST_TEST(measureLoad(History, 1, Length).ReplicaShare == 0.5);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(requests_of_a_run)

/// Guards against sending a write without a key twice.
BOOST_AUTO_TEST_CASE(without_a_key_are_sent_once) {
  request_record First;
  BOOST_TEST(callsFor(0, {{}}, First).size() == 1U);
  BOOST_TEST((First.Ran == ran_state::Unknown));
}

/// Guards against believing "not run" of a repetition: the first attempt may
/// have run.
BOOST_AUTO_TEST_CASE(with_a_key_stay_unknown_after_a_refused_repetition) {
  route_answer Refused;
  Refused.Status = 503;
  Refused.Ran = ran_state::No;
  request_record First;
  std::vector<route_call> Calls = callsFor(1, {{}, Refused}, First);
  BOOST_REQUIRE(Calls.size() == 2U);
  BOOST_TEST(Calls[0].Host != Calls[1].Host);
  BOOST_TEST((First.Ran == ran_state::Unknown));
}

/// Guards against counting a dead host as a refusal of the system.
BOOST_AUTO_TEST_CASE(go_to_another_host_after_a_refused_connection) {
  route_answer Refused;
  Refused.Code = ConnectionRefused;
  Refused.Ran = ran_state::No;
  route_answer Answered;
  Answered.Status = 200;
  request_record First;
  BOOST_TEST(callsFor(0, {Refused, Answered}, First).size() == 2U);
  BOOST_TEST(First.Status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
