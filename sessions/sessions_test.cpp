#include "session_script.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <Poco/Environment.h>
#include <Poco/TemporaryFile.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace {

using namespace radishrelay::sessions;

namespace files = std::filesystem;

/// Names of the scripts, without ".session".
std::vector<std::string> scriptNames() {
  std::vector<std::string> Names;
  for (const auto &Entry : files::directory_iterator(RADISHRELAY_SESSION_DATA))
    if (Entry.path().extension() == ".session")
      Names.push_back(Entry.path().stem().string());
  std::sort(Names.begin(), Names.end());
  return Names;
}

std::string readFile(const files::path &Path) {
  std::ifstream Input(Path);
  return {std::istreambuf_iterator<char>(Input), {}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(whole_sessions_through_the_real_programs)

/// With RADISHRELAY_REGENERATE=1 the golden files are written anew, for review.
BOOST_DATA_TEST_CASE(match_their_golden_file,
                     boost::unit_test::data::make(scriptNames()), Name) {
  files::path Script =
      files::path(RADISHRELAY_SESSION_DATA) / (Name + ".session");
  files::path Golden =
      files::path(RADISHRELAY_SESSION_DATA) / (Name + ".golden");
  deployment Deployment;
  std::string Transcript = session_script(Deployment).run(readFile(Script));
  if (Poco::Environment::get("RADISHRELAY_REGENERATE", "") == "1")
    std::ofstream(Golden) << Transcript;
  BOOST_TEST(Transcript == readFile(Golden));
}

/// Exit code of "radishrelayd --check-settings" for the text.
int checkSettings(const std::string &Text, std::string &Error) {
  Poco::TemporaryFile File;
  std::ofstream(File.path()) << Text;
  test_process Program(RADISHRELAY_DAEMON_PROGRAM,
                       {"--check-settings", File.path()}, json_stream::Error);
  int Code = Program.wait();
  Error = Program.output();
  return Code;
}

BOOST_AUTO_TEST_CASE(do_not_start_with_wrong_settings) {
  const std::string Right = "[host]\nid = h1\nfailure_domain = boston\n"
                            "[peers]\nsecret = sixteen letters or more\n"
                            "[platform]\naddress = 127.0.0.1:1\n";
  std::string Error;
  BOOST_TEST(checkSettings(Right, Error) == 0);
  BOOST_TEST(checkSettings(Right + "[log]\nlevel = loud\n", Error) == 2);
  BOOST_TEST(checkSettings("[host]\nid = h1\n", Error) == 2);
  BOOST_TEST(checkSettings(Right + "[callers]\nadress = x\n", Error) == 2);
}

BOOST_AUTO_TEST_CASE(leave_no_key_or_token_outside_the_caller_listener) {
  deployment Deployment;
  session_script Script(Deployment);
  Script.run("h1 POST /v1/routes/file-permit key=installers session=s "
             "idempotency=i {\"parameters\":{\"address\":\"1 Elm St\"}}\n"
             "h2 POST /v1/routes/permit-status key=installers session=s "
             "{\"parameters\":{\"address\":\"1 Elm St\"}}\n"
             "h2 POST /v1/routes/file-permit key=wrong {}\n");
  std::string State = Script.run("operator h1 GET /v1/state\n");
  std::string Received = Deployment.receivedByDatabase();
  BOOST_TEST(Received.find("1 Elm St") != std::string::npos);
  for (const std::string Secret :
       {"secret-of-installers", "rr_k-installers", "guess"}) {
    BOOST_TEST(Received.find(Secret) == std::string::npos, Secret);
    BOOST_TEST(State.find(Secret) == std::string::npos, Secret);
    for (const std::string Host : {"h1", "h2", "h3"})
      BOOST_TEST(Deployment.hostLog(Host).find(Secret) == std::string::npos,
                 Secret);
  }
}

BOOST_AUTO_TEST_SUITE_END()
