#include "fakes/scripted_group.h"

#include <boost/test/unit_test.hpp>

using namespace radishrelay::daemon;

BOOST_AUTO_TEST_SUITE(the_link_to_an_instance)

// Guards against failover taking a failed call of the write tracker for its own
// probe with the same deadline.
BOOST_FIXTURE_TEST_CASE(names_the_requester_of_each_failed_call,
                        fakes::scripted_group) {
  instance_link Link({}, *this);
  radishrelay::groups::instance_call Call;
  Call.Deadline = Now + std::chrono::milliseconds(200);
  Link.call({Call, call_requester::WriteTracker}, Now);
  Link.call({Call, call_requester::Failover}, Now);
  Link.tick(Call.Deadline);
  std::vector<link_answer> Answers = Link.takeAnswers();
  BOOST_REQUIRE(Answers.size() == 2U);
  BOOST_TEST((Answers[0].Requester == call_requester::WriteTracker));
  BOOST_TEST((Answers[1].Requester == call_requester::Failover));
}

BOOST_AUTO_TEST_SUITE_END()
