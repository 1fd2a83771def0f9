#include "radishrelay/groups/instance_status.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay::groups;

} // namespace

BOOST_AUTO_TEST_SUITE(instance_status_text)

// Guards against a field that is lost or changed between formatting and
// parsing.
BOOST_AUTO_TEST_CASE(formatted_status_is_parsed_to_the_same_status) {
  instance_status Status;
  Status.Role = instance_role::Primary;
  Status.Position = {3, 90};
  Status.RaisedTerm = 4;
  Status.TermStarts = {{1, 0}, {3, 57}};
  Status.AppliedAge = std::chrono::milliseconds(12);
  BOOST_TEST((*parseInstanceStatus(formatInstanceStatus(Status)) == Status));
}

// Guards against an unknown age that is parsed as an age of zero.
BOOST_AUTO_TEST_CASE(unknown_applied_age_stays_unknown) {
  instance_status Status;
  auto Parsed = parseInstanceStatus(formatInstanceStatus(Status));
  BOOST_REQUIRE(Parsed.hasValue());
  BOOST_TEST(!Parsed->AppliedAge.has_value());
}

// Guards against accepting text that is not JSON, not an object, or incomplete.
BOOST_AUTO_TEST_CASE(malformed_status_text_is_refused) {
  BOOST_TEST(!parseInstanceStatus("[]"));
  BOOST_TEST(!parseInstanceStatus("{\"role\":\"primary\"}"));
  BOOST_TEST(!parseInstanceStatus("{"));
}

BOOST_AUTO_TEST_SUITE_END()
