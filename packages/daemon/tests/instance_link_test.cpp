#include "fakes/scripted_group.h"

#include <boost/test/unit_test.hpp>

using namespace radishrelay::daemon;

BOOST_AUTO_TEST_SUITE(the_link_to_an_instance)

// Guards against a failed call of the write tracker that the failover takes for
// its own probe with the same deadline.
BOOST_FIXTURE_TEST_CASE(tells_whose_call_has_failed, fakes::scripted_group) {
  instance_link Link({}, *this);
  radishrelay::groups::instance_call Call;
  Call.Deadline = Now + std::chrono::milliseconds(200);
  Link.call({Call, call_user::WriteTracker}, Now);
  Link.call({Call, call_user::Failover}, Now);
  Link.tick(Call.Deadline);
  std::vector<link_answer> Answers = Link.takeAnswers();
  BOOST_REQUIRE(Answers.size() == 2U);
  BOOST_TEST((Answers[0].User == call_user::WriteTracker));
  BOOST_TEST((Answers[1].User == call_user::Failover));
}

BOOST_AUTO_TEST_SUITE_END()
