#include "configuration_fixture.h"

#include "radishrelay/fleet/configuration_index.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay;
using namespace radishrelay::fleet;
using namespace radishrelay::fleet::testing;
using base::json;

/// Applies \p Operations to the example document and returns the first error as
/// "PLACE: MESSAGE", or "none".
std::string patchError(const char *Operations) {
  auto Patch = parsePatch(json::parse(Operations));
  if (!Patch)
    return Patch.error().front().Place + ": " + Patch.error().front().Message;
  auto Result = applyPatch(exampleDocument(), *Patch);
  if (Result)
    return "none";
  return Result.error().front().Place + ": " + Result.error().front().Message;
}

/// Returns the first error of adding a read route with \p Statement, or "none".
std::string readRouteError(const std::string &Statement) {
  json Route = {{"name", "r"},
                {"group", "permits"},
                {"statement", Statement},
                {"kind", "read"}};
  json Operations = json::array({{{"operation", "set_route"}}});
  Operations[0]["route"] = Route;
  return patchError(Operations.dump().c_str());
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration)

BOOST_AUTO_TEST_SUITE(the_document)

BOOST_AUTO_TEST_CASE(is_equal_after_formatting_and_parsing) {
  auto Document = exampleDocument();
  Document.PreviousWitnesses = {base::host_id("host-9")};
  auto Parsed = parseConfiguration(formatConfiguration(Document));
  BOOST_REQUIRE(Parsed.hasValue());
  BOOST_TEST((*Parsed == Document));
  BOOST_TEST(configurationDigest(*Parsed) == configurationDigest(Document));
}

// Guards against error messages that do not tell which member is invalid.
BOOST_AUTO_TEST_CASE(errors_name_the_faulty_member) {
  json Document = formatConfiguration(exampleDocument());
  Document["accounts"][0]["burst"] = "many";
  Document["accounts"][0].erase("rate_per_second");
  Document["routes"][1]["kind"] = "append";
  Document["groups"][0]["colour"] = "red";
  auto Parsed = parseConfiguration(Document);
  BOOST_REQUIRE(!Parsed);
  configuration_errors Expected{
      {"accounts[0].rate_per_second", "is missing"},
      {"accounts[0].burst", "must be an integer"},
      {"groups[0].colour", "is not a known member"},
      {"routes[1].kind", "must be \"read\" or \"write\""}};
  BOOST_TEST(Parsed.error() == Expected, boost::test_tools::per_element());
}

// Guards against secrets, salts or digests in state dumps.
BOOST_AUTO_TEST_CASE(redacted_form_contains_no_secrets) {
  std::string Text = formatConfigurationRedacted(exampleDocument()).dump();
  for (const char *Secret : {"\"secret\"", "\"salt\"", "\"digest\""})
    BOOST_TEST(Text.find(Secret) == std::string::npos);
}

BOOST_AUTO_TEST_CASE(index_finds_entries_by_name) {
  configuration_index Index(
      std::make_shared<configuration_document>(exampleDocument()));
  BOOST_TEST(Index.findRoute("permit-status")->MaxAge->count() == 500);
  BOOST_TEST(Index.findKey("k1").Account->Id.str() == "installers");
  BOOST_TEST(Index.findGroup("permits")->Connections == 50);
  BOOST_TEST(Index.findSessionKey("s1")->Secret == "secret");
  BOOST_TEST(!Index.findRoute("other"));
  BOOST_TEST(!Index.findKey("k2").Key);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_patch)

BOOST_AUTO_TEST_CASE(raises_the_version_and_does_not_modify_its_input) {
  auto Before = exampleDocument();
  auto After =
      applyPatch(Before, {set_limit{base::account_id("installers"), 10, 20}});
  BOOST_REQUIRE(After.hasValue());
  BOOST_TEST(After->Version == 8U);
  BOOST_TEST(After->Accounts[0].Burst == 20);
  BOOST_TEST((Before == exampleDocument()));
}

BOOST_AUTO_TEST_CASE(each_operation_is_equal_after_formatting_and_parsing) {
  auto Example = exampleDocument();
  base::account_id Account("inspectors");
  configuration_patch Patch{create_account{Account, 5, 6},
                            remove_account{Account, true},
                            set_limit{Account, 1, 2},
                            grant_key{Account, {"k2", "s", "d"}},
                            withdraw_key{Account, "k2", true},
                            set_route{Example.Routes[1]},
                            remove_route{"permit-status"},
                            set_group{Example.Groups[0]},
                            remove_group{base::group_id("permits")},
                            rotate_session_key{{"s2", "x"}, 2, false},
                            set_witnesses{{base::host_id("host-4")}},
                            confirm_witnesses{}};
  auto Parsed = parsePatch(formatPatch(Patch));
  BOOST_REQUIRE(Parsed.hasValue());
  BOOST_TEST((*Parsed == Patch));
}

// Guards against a patch that is applied in part, and against validation after
// each operation, which would reject a patch that is valid only as a whole.
BOOST_AUTO_TEST_CASE(is_validated_after_its_last_operation) {
  BOOST_TEST(
      patchError(R"([{"operation":"remove_group","group":"permits"}])") ==
      "routes[0].group: unknown group \"permits\"");
  BOOST_TEST(patchError(R"([{"operation":"remove_group","group":"permits"},
      {"operation":"remove_route","name":"file-permit"},
      {"operation":"remove_route","name":"permit-status"}])") == "none");
}

BOOST_AUTO_TEST_CASE(rejects_invalid_limits_and_duplicate_accounts) {
  BOOST_TEST(patchError(R"([{"operation":"set_limit","account":"installers",
      "rate_per_second":-1,"burst":1}])") ==
             "accounts[0].rate_per_second: must not be below zero");
  BOOST_TEST(patchError(R"([{"operation":"set_limit","account":"installers",
      "rate_per_second":1,"burst":0}])") ==
             "accounts[0].burst: must be at least 1");
  BOOST_TEST(patchError(R"([{"operation":"create_account",
      "account":"installers","rate_per_second":1,"burst":1}])") ==
             "operations[0].account: \"installers\" exists already");
}

// Guards against an operator locking an account out by mistake.
BOOST_AUTO_TEST_CASE(removes_the_last_key_only_with_force) {
  BOOST_TEST(patchError(R"([{"operation":"withdraw_key",
      "account":"installers","key":"k1"}])")
                 .starts_with("operations[0].key: is the last key"));
  BOOST_TEST(patchError(R"([{"operation":"withdraw_key",
      "account":"installers","key":"k1","force":true}])") == "none");
  BOOST_TEST(patchError(R"([{"operation":"remove_account",
      "account":"installers"}])")
                 .starts_with("operations[0].account: has keys"));
}

// Guards against a key that is valid for two accounts.
BOOST_AUTO_TEST_CASE(rejects_a_key_identifier_of_another_account) {
  BOOST_TEST(patchError(R"([{"operation":"create_account","account":"b",
      "rate_per_second":1,"burst":1},{"operation":"grant_key","account":"b",
      "key":{"id":"k1","salt":"s","digest":"d"}}])") ==
             "accounts[1].keys[0].id: \"k1\" is already used");
}

// Guards against session tokens that no host can verify, because their key was
// dropped or signs before all hosts know it.
BOOST_AUTO_TEST_CASE(session_key_rotation_keeps_the_previous_key) {
  auto Next =
      applyPatch(exampleDocument(), {rotate_session_key{{"s2", "x"}, 1, true}});
  std::vector<session_key> Expected{{"s2", "x"}, {"s1", "secret"}};
  BOOST_TEST((Next->SessionKeys == Expected));
  auto Accepted = applyPatch(exampleDocument(),
                             {rotate_session_key{{"s2", "x"}, 1, false}});
  BOOST_TEST(Accepted->SessionKeys[0].Id == "s1");
  auto Document = exampleDocument();
  Document.SessionKeys.clear();
  BOOST_TEST(validateConfiguration(Document).front().Place == "session_keys");
}

BOOST_AUTO_TEST_CASE(rejects_a_witness_change_while_another_is_unconfirmed) {
  configuration_patch Patch{set_witnesses{{base::host_id("host-4")}}};
  auto Joint = applyPatch(exampleDocument(), Patch);
  BOOST_TEST(Joint->PreviousWitnesses.size() == 3U);
  BOOST_TEST(!applyPatch(*Joint, Patch));
  BOOST_TEST(
      applyPatch(*Joint, {confirm_witnesses{}})->PreviousWitnesses.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_read_route)

// Guards against a write statement that runs on a replica, or is retried, as if
// it were a read.
BOOST_AUTO_TEST_CASE(rejects_write_statements_and_multiple_statements) {
  for (const char *Statement :
       {"UPDATE t SET a = 1", "/* SELECT */ DELETE FROM t",
        "WITH x AS (INSERT INTO t VALUES (1) RETURNING 1) SELECT 1",
        "SELECT 1 FROM t FOR UPDATE", "SELECT 1 INTO t2"})
    BOOST_TEST(readRouteError(Statement).starts_with(
        "routes[2].statement: a read route must not use "));
  BOOST_TEST(readRouteError("SELECT 1; SELECT 2") ==
             "routes[2].statement: must be one statement");
}

BOOST_AUTO_TEST_CASE(accepts_write_keywords_in_quotes_and_comments) {
  for (const char *Statement :
       {"SELECT 'it''s DELETE $1' -- UPDATE $1", "SELECT \"update\" FROM t;",
        "SELECT $q$INSERT $1$q$", "SELECT E'\\' DROP $1'",
        "SELECT 1 /* a /* b */ DROP */"})
    BOOST_TEST(readRouteError(Statement) == "none", Statement);
}

BOOST_AUTO_TEST_CASE(requires_one_distinct_name_per_parameter) {
  BOOST_TEST(readRouteError("SELECT $1") ==
             "routes[2].parameters: has no name for $1");
  auto Document = exampleDocument();
  Document.Routes[1].Parameters = {"id", "id"};
  BOOST_TEST(validateConfiguration(Document).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
