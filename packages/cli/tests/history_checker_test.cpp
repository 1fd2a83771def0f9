#include "admission_window.h"
#include "load_history.h"

#include <boost/test/unit_test.hpp>

using namespace radishrelay;
using namespace radishrelay::cli;
using namespace radishrelay::cli::tests;
using groups::ran_state;

namespace {

using promises = std::vector<promise>;

admission_interval pointAt(std::int64_t Milliseconds) {
  base::duration Time = std::chrono::milliseconds(Milliseconds);
  return {Time, Time};
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_history)

BOOST_AUTO_TEST_SUITE(that_keeps_every_promise)

/// Guards against false alarms on ordinary answers.
BOOST_AUTO_TEST_CASE(passes) {
  BOOST_TEST(checkHistory(soundHistory()).empty());
}

/// Guards against a report of a write whose outcome is unknown.
BOOST_AUTO_TEST_CASE(passes_with_an_unknown_outcome_once_or_never) {
  load_history History = soundHistory();
  refuse(History.Records[0], 504, ran_state::Unknown);
  refuse(History.Records[1], 504, ran_state::Unknown);
  refuse(History.Records[2], 504, ran_state::Unknown);
  History.Rows->erase("id-2");
  refuse(History.Records[3], 504, ran_state::Unknown);
  BOOST_TEST(checkHistory(History).empty());
}

/// Guards against a report of lost writes when the rows are not known.
BOOST_AUTO_TEST_CASE(passes_without_rows) {
  load_history History = soundHistory();
  History.Rows.reset();
  BOOST_TEST(checkHistory(History).empty());
}

/// Guards against a read before its session's first write counting as stale.
BOOST_AUTO_TEST_CASE(passes_with_a_read_of_a_new_session) {
  load_history History = soundHistory();
  History.Records[1].Subject.clear();
  History.Records[1].Found = 0;
  BOOST_TEST(checkHistory(History).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_breaks_exactly_one_promise)

/// Guards against a stale read that is not seen.
BOOST_AUTO_TEST_CASE(shows_a_stale_read) {
  load_history History = soundHistory();
  History.Records[3].Found = 0;
  BOOST_TEST((brokenIn(History) == promises{promise::ReadSeesOwnWrites}));
}

/// Guards against a doubled write that is not seen at the end.
BOOST_AUTO_TEST_CASE(shows_a_doubled_write) {
  load_history History = soundHistory();
  (*History.Rows)["id-4"] = 2;
  BOOST_TEST((brokenIn(History) == promises{promise::WriteRunsAtMostOnce}));
}

/// Guards against excusing a write with unknown outcome that ran twice.
BOOST_AUTO_TEST_CASE(shows_a_doubled_write_with_unknown_outcome) {
  load_history History = soundHistory();
  refuse(History.Records[4], 504, ran_state::Unknown);
  (*History.Rows)["id-4"] = 2;
  BOOST_TEST((brokenIn(History) == promises{promise::WriteRunsAtMostOnce}));
}

/// Guards against a doubled write that only a read shows.
BOOST_AUTO_TEST_CASE(shows_a_doubled_write_in_a_read) {
  load_history History = soundHistory();
  History.Records[5].Found = 2;
  BOOST_TEST((brokenIn(History) == promises{promise::WriteRunsAtMostOnce}));
}

/// Guards against a lost acknowledged write that is not seen.
BOOST_AUTO_TEST_CASE(shows_a_lost_acknowledged_write) {
  load_history History = soundHistory();
  History.Rows->erase("id-8");
  BOOST_TEST((brokenIn(History) == promises{promise::AcknowledgedWriteIsKept}));
}

/// Guards against believing an answer "not run" whose write took effect.
BOOST_AUTO_TEST_CASE(shows_a_write_that_ran_after_not_run) {
  load_history History = soundHistory();
  refuse(History.Records[6], 503, ran_state::No);
  BOOST_TEST((brokenIn(History) == promises{promise::NotRunIsTrue}));
}

/// Guards against an answer that belongs to another request.
BOOST_AUTO_TEST_CASE(shows_a_crossed_answer) {
  load_history History = soundHistory();
  History.Records[7].Echo = "id-5";
  BOOST_TEST((brokenIn(History) == promises{promise::AnswerBelongsToRequest}));
}

/// Guards against an account above its rate and burst that is not seen: ten
/// requests in 910 ms exceed a burst of one at one request per second.
BOOST_AUTO_TEST_CASE(shows_an_account_above_its_rate) {
  load_history History = soundHistory();
  History.Accounts[0].RatePerSecond = 1;
  History.Accounts[0].Burst = 1;
  BOOST_TEST((brokenIn(History) == promises{promise::AccountStaysWithinRate}));
}

/// Guards against counting what was refused as admitted.
BOOST_AUTO_TEST_CASE(passes_an_account_whose_excess_was_refused) {
  load_history History = soundHistory();
  History.Accounts[0].RatePerSecond = 1;
  History.Accounts[0].Burst = 1;
  for (std::size_t Index = 1; Index < History.Records.size(); ++Index) {
    refuse(History.Records[Index], 429, ran_state::No);
    History.Rows->erase(History.Records[Index].Id);
  }
  BOOST_TEST(checkHistory(History).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_admissions)

/// Guards against a window whose excess hides between quiet periods.
BOOST_AUTO_TEST_CASE(finds_the_densest_window) {
  std::vector<admission_interval> Admitted{pointAt(0)};
  for (int Count = 0; Count < 4; ++Count)
    Admitted.push_back(pointAt(5000 + 100 * Count));
  Admitted.push_back(pointAt(9000));
  // Four requests within 0.3 s at 2 per second.
  BOOST_TEST(largestWindowExcess(Admitted, 2.0) == 3.4,
             boost::test_tools::tolerance(1e-9));
}

/// Guards against a sum that takes later window starts for the best one.
BOOST_AUTO_TEST_CASE(ignores_starts_after_the_window) {
  std::vector<admission_interval> Admitted{pointAt(0), pointAt(100000)};
  BOOST_TEST(largestWindowExcess(Admitted, 1000.0) == 1.0);
}

/// Guards against blaming slow answers: the moments of admission are unknown
/// within the intervals, and here they may be a second apart.
BOOST_AUTO_TEST_CASE(counts_only_requests_wholly_inside_a_window) {
  std::vector<admission_interval> Admitted{
      {base::duration::zero(), std::chrono::seconds(1)},
      {std::chrono::milliseconds(999), std::chrono::seconds(2)}};
  BOOST_TEST(largestWindowExcess(Admitted, 1.0) == 0.0);
}

/// Guards against a failure on an account without answers.
BOOST_AUTO_TEST_CASE(may_be_empty) {
  BOOST_TEST(largestWindowExcess({}, 1.0) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
