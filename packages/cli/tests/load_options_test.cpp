#include "load_account.h"
#include "load_fault.h"
#include "load_options.h"

#include <boost/test/unit_test.hpp>

#include <Poco/TemporaryFile.h>

#include <cstdio>
#include <fstream>

using namespace radishrelay;
using namespace radishrelay::cli;

namespace {

namespace options = boost::program_options;

base::expected<load_options>
readArguments(const std::vector<std::string> &Arguments) {
  options::options_description Options = loadCommandOptions();
  options::variables_map Values;
  options::store(options::command_line_parser(Arguments).options(Options).run(),
                 Values);
  return readLoadOptions(Values);
}

std::string planError(const std::string &Text) {
  auto Plan = base::parseIni(Text, "plan.ini");
  BOOST_REQUIRE(Plan.hasValue());
  auto Options = parseLoadPlan(*Plan);
  return Options ? "" : base::toString(Options.error());
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(options_of_a_load_run)

BOOST_AUTO_TEST_SUITE(in_a_plan)

/// Guards against a plan that is read incompletely.
BOOST_AUTO_TEST_CASE(are_read) {
  auto Plan = base::parseIni("[load]\nprofile = amman\nseed = 7\n[accounts]\n"
                             "account.forge = 5,10,20\n[faults]\n"
                             "fault.1 = 5s platform down\n",
                             "plan.ini");
  auto Options = parseLoadPlan(*Plan);
  BOOST_REQUIRE(Options.hasValue());
  BOOST_TEST(Options->Profile == "amman");
  BOOST_TEST(Options->Seed == 7);
  BOOST_TEST(Options->Accounts.at("forge") == "5,10,20");
  BOOST_TEST(Options->Faults.at("1") == "5s platform down");
}

/// Guards against errors that do not say where they are.
BOOST_AUTO_TEST_CASE(have_errors_with_file_line_and_key) {
  std::string Unknown = planError("[load]\n\nspeed = 3\n");
  BOOST_TEST(contains(Unknown, "plan.ini:3"));
  BOOST_TEST(contains(Unknown, "speed"));
  std::string Range = planError("[load]\nread_percent = 101\n");
  BOOST_TEST(contains(Range, "plan.ini:2"));
  BOOST_TEST(contains(Range, "from 0 to 100"));
  std::string Account = planError("[accounts]\naccount.forge = 5,ten,20\n");
  BOOST_TEST(contains(Account, "plan.ini:2"));
  BOOST_TEST(contains(Account, "account.forge"));
  std::string Fault = planError("[faults]\nfault.1 = 5s platform broken\n");
  BOOST_TEST(contains(Fault, "plan.ini:2"));
  BOOST_TEST(contains(Fault, "fault.1"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(on_the_command_line)

/// Guards against a run without anything to send to, or with two.
BOOST_AUTO_TEST_CASE(need_a_profile_or_targets) {
  BOOST_TEST(!readArguments({}).hasValue());
  BOOST_TEST(!readArguments({"--profile", "amman", "--targets", "127.0.0.1:1"})
                  .hasValue());
  BOOST_TEST(!readArguments({"--targets", "127.0.0.1:1"}).hasValue());
  BOOST_TEST(readArguments({"--profile", "amman"}).hasValue());
}

/// Guards against a profile that does not exist.
BOOST_AUTO_TEST_CASE(name_a_known_profile) {
  auto Options = readArguments({"--profile", "boston"});
  BOOST_REQUIRE(!Options.hasValue());
  BOOST_TEST(contains(Options.error().Detail, "granite-ledger"));
}

/// Guards against fault steps that would be left out silently.
BOOST_AUTO_TEST_CASE(refuse_faults_on_running_hosts) {
  auto Options = readArguments({"--targets", "127.0.0.1:1", "--groups",
                                "permits", "--account", "a=1,1,1,key",
                                "--fault", "1s platform down"});
  BOOST_TEST(!Options.hasValue());
}

/// Guards against a plan that wins over the command line.
BOOST_AUTO_TEST_CASE(override_the_plan) {
  std::string FileName = Poco::TemporaryFile::tempName();
  std::ofstream(FileName) << "[load]\nprofile = amman\nseed = 7\nhosts = 5\n";
  auto Options = readArguments({"--plan", FileName, "--seed", "9"});
  std::remove(FileName.c_str());
  BOOST_REQUIRE(Options.hasValue());
  BOOST_TEST(Options->Seed == 9);
  BOOST_TEST(Options->Hosts == 5);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(for_fault_steps)

/// Guards against a step that acts on something else than it names.
BOOST_AUTO_TEST_CASE(are_parsed) {
  BOOST_TEST((*parseLoadFault("5s group=permits instance=2 lag 500") ==
              load_fault{std::chrono::seconds(5), fault_subject::Instance,
                         "permits", 2, "lag", 500}));
  BOOST_TEST((*parseLoadFault("250ms host h2 stop") ==
              load_fault{std::chrono::milliseconds(250), fault_subject::Host,
                         "h2", 0, "stop", 0}));
  BOOST_TEST((*parseLoadFault("1s withdraw forge/k1") ==
              load_fault{std::chrono::seconds(1), fault_subject::Key,
                         "forge/k1", 0, "withdraw", 0}));
}

/// Guards against malformed steps that are run as something else.
BOOST_AUTO_TEST_CASE(are_refused_when_malformed) {
  for (const char *Text :
       {"", "5s", "5 platform down", "5s platform", "5s platform broken",
        "5s host h1 explode", "5s group=permits kill",
        "5s group=permits instance=x kill", "5s group=permits instance=0 lag",
        "5s group=permits instance=0 kill 5", "5s withdraw forge",
        "-5s platform down"})
    BOOST_TEST(!parseLoadFault(Text).hasValue(), Text);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
