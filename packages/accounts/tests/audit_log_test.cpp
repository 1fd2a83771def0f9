#include "radishrelay/accounts/audit_log.h"
#include "radishrelay/accounts/loan_messages.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay;
using namespace radishrelay::accounts;

const base::account_id Installers("installers");
const base::account_id Inspectors("inspectors");

} // namespace

BOOST_AUTO_TEST_SUITE(an_audit_log)

// Guards against lines that cannot be attributed to an account and a minute.
BOOST_AUTO_TEST_CASE(prints_one_line_per_minute_and_account) {
  audit_log Log;
  Log.count(Installers, audit_outcome::Admitted, 7);
  Log.count(Installers, audit_outcome::Admitted, 7);
  Log.count(Installers, audit_outcome::RateExceeded, 7);
  Log.count(Inspectors, audit_outcome::Draining, 8);
  BOOST_TEST(Log.jsonLines() ==
             "{\"minute\":7,\"account\":\"installers\",\"admitted\":2,"
             "\"rate_exceeded\":1}\n"
             "{\"minute\":8,\"account\":\"inspectors\",\"draining\":1}\n");
}

// Guards against memory use that grows with time or the number of accounts.
BOOST_AUTO_TEST_CASE(keeps_bounded_memory) {
  audit_log Log({2, 1});
  for (audit_minute Minute : {1, 2, 3, 1})
    Log.count(Installers, audit_outcome::Admitted, Minute);
  Log.count(Inspectors, audit_outcome::Admitted, 3);
  BOOST_TEST(Log.dump().size() == 3U);
  BOOST_TEST(Log.total(Installers, audit_outcome::Admitted) == 2U);
  BOOST_TEST(Log.total(base::account_id(), audit_outcome::Admitted) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_loan_message)

// Guards against tokens created because a message changes when it is encoded
// and decoded.
BOOST_AUTO_TEST_CASE(is_unchanged_by_a_round_trip_through_json) {
  loan_request Request{Installers, 3, 9, 2 * OneToken};
  loan_grant Grant{Installers, 3, 9, 4, 11, OneToken, base::duration(500)};
  loan_reports Reports{{{Installers, 4, 11, OneToken / 2}}};
  for (const limiter_message &Message :
       {limiter_message(Request), limiter_message(Grant),
        limiter_message(Reports)})
    BOOST_TEST((*parseLimiterMessage(toJson(Message)) == Message));
}

// Guards against negative or non-numeric amounts from a faulty peer.
BOOST_AUTO_TEST_CASE(is_refused_when_malformed) {
  base::json Message = toJson(loan_request{Installers, 3, 9, OneToken});
  Message["amount"] = -1;
  BOOST_TEST(!parseLimiterMessage(Message));
  Message["amount"] = "many";
  BOOST_TEST(!parseLimiterMessage(Message));
  BOOST_TEST(!parseLimiterMessage(base::json::array()));
  BOOST_TEST(!parseLimiterMessage({{"kind", "other"}}));
}

BOOST_AUTO_TEST_SUITE_END()
