#include "local_deployment.h"

#include "first_configuration.h"

#include "free_port.h"
#include "load_configuration.h"

#include "radishrelay/base/digest.h"
#include "radishrelay/fleet/configuration_document.h"
#include "radishrelay/groups/request_statements.h"
#include "radishrelay/tables/table_client.h"

#include <Poco/Path.h>
#include <Poco/Thread.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace radishrelay::cli {

namespace {

constexpr std::size_t InstancesPerGroup = 3;
constexpr int StartSeconds = 10;
constexpr std::size_t LogLinesShown = 5;

std::string loopback(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

/// radishrelayd is beside this program when installed, and in the daemon
/// package's directory of a build tree.
std::string findDaemon() {
  namespace files = std::filesystem;
  files::path Own = files::read_symlink("/proc/self/exe").parent_path();
  files::path Beside = Own / "radishrelayd";
  if (files::exists(Beside))
    return Beside.string();
  return (Own.parent_path() / "daemon" / "radishrelayd").string();
}

} // namespace

local_deployment::local_deployment(const load_profile &Profile,
                                   const load_options &Options)
    : Program(Options.Daemon.empty() ? findDaemon() : Options.Daemon) {
  constexpr std::size_t TokenBytes = 32;
  OperatorToken = base::encodeBase64Url(base::secureRandomBytes(TokenBytes));
  Directory.createDirectories();
  startGroups(Profile, Options);
  std::vector<base::listed_host> Listed;
  for (std::int64_t Number = 0; Number < Options.Hosts; ++Number) {
    auto Domain =
        static_cast<std::size_t>(Number) % Profile.FailureDomains.size();
    Hosts.push_back({"h" + std::to_string(Number + 1),
                     Profile.FailureDomains[Domain], findFreePort(),
                     findFreePort(), findFreePort(), nullptr});
    Listed.push_back({Hosts.back().Name, base::listed_host_state::Live});
  }
  Platform.setHosts(Listed);
  seedConfiguration(Profile);
  for (host &Host : Hosts)
    startHost(Host);
  for (host &Host : Hosts)
    if (!Host.Process->awaitEvent("ready", StartSeconds))
      throw std::runtime_error(Host.Name + " did not become ready:\n" +
                               Host.Process->lastLines(LogLinesShown));
  // The hosts of a fleet that starts as a whole have no tokens until shares
  // that an earlier fleet may have handed out have ended.
  constexpr long FirstTokensMilliseconds = 9000;
  Poco::Thread::sleep(FirstTokensMilliseconds);
}

void local_deployment::startGroups(const load_profile &Profile,
                                   const load_options &Options) {
  backend::stand_in_options Settings;
  Settings.Instances = InstancesPerGroup;
  Settings.Slots = static_cast<std::size_t>(Profile.Slots);
  Settings.ConnectionLimit = static_cast<std::size_t>(Profile.Connections);
  Settings.Lag = std::chrono::milliseconds(Options.LagMilliseconds);
  std::string Table(LoadTable);
  Settings.Schema = {
      {groups::request_statements::createTable().Text, {}},
      {"CREATE TABLE " + Table + "(id TEXT, session TEXT)", {}},
      {"CREATE INDEX " + Table + "_id ON " + Table + "(id)", {}}};
  GroupNames = Profile.Groups;
  for (std::size_t Index = 0; Index < GroupNames.size(); ++Index)
    Groups.push_back(std::make_unique<backend::stand_in_group>(Settings));
}

void local_deployment::seedConfiguration(const load_profile &Profile) {
  constexpr std::size_t MostWitnesses = 9;
  load_configuration_parts Parts{Profile, {}, {}};
  for (const auto &Group : Groups) {
    Parts.Instances.emplace_back();
    for (std::size_t Number = 0; Number < Group->size(); ++Number)
      Parts.Instances.back().push_back(Group->address(Number));
  }
  for (const host &Host : Hosts)
    if (Parts.Witnesses.size() < MostWitnesses)
      Parts.Witnesses.push_back(Host.Name);
  base::json Document = makeLoadConfiguration(Parts);
  Accounts = Parts.Profile.Accounts;
  auto Parsed = fleet::parseConfiguration(Document);
  if (!Parsed)
    throw std::runtime_error("configuration: " + Parsed.error()[0].Place + " " +
                             Parsed.error()[0].Message);
  base::store_answer Stored =
      storeFirstConfiguration(Platform.address(), *Parsed);
  if (Stored.Outcome != base::store_outcome::Done)
    throw std::runtime_error("the platform refused the configuration");
}

std::string local_deployment::settingsFile(const host &Host) const {
  return Directory.path() + "/" + Host.Name + ".ini";
}

void local_deployment::writeSettings(const host &Host) const {
  std::string Join;
  for (const host &Other : Hosts)
    if (Other.Name != Host.Name)
      Join += (Join.empty() ? "" : ",") + loopback(Other.Peers);
  std::ofstream Out(settingsFile(Host));
  Out << "[host]\nid = " << Host.Name
      << "\nfailure_domain = " << Host.FailureDomain
      << "\n[callers]\naddress = " << loopback(Host.Callers)
      << "\n[operators]\naddress = " << loopback(Host.Operators)
      << "\ntoken_digest.load = "
      << base::encodeHex(base::sha256(OperatorToken))
      << "\n[peers]\naddress = " << loopback(Host.Peers);
  if (!Join.empty())
    Out << "\njoin = " << Join;
  Out << "\nsecret = secret-between-the-hosts\n[platform]\naddress = "
      << Platform.address() << "\n[drain]\nbalancer_wait_ms = 100\n";
}

void local_deployment::startHost(host &Host) {
  writeSettings(Host);
  Host.Process.reset();
  Host.Process = std::make_unique<child_daemon>(Program, settingsFile(Host));
}

std::vector<std::string> local_deployment::targets() const {
  std::vector<std::string> Targets;
  for (const host &Host : Hosts)
    Targets.push_back(loopback(Host.Callers));
  return Targets;
}

std::string local_deployment::instance(std::size_t Group,
                                       std::size_t Number) const {
  return Groups[Group]->address(Number);
}

row_counts local_deployment::countRows() const {
  row_counts Counts;
  for (const auto &Group : Groups) {
    std::size_t Chosen = 0;
    std::vector<backend::stand_in_report> Reports = Group->reports();
    for (std::size_t Index = 1; Index < Reports.size(); ++Index)
      if (Reports[Index].Status.Position > Reports[Chosen].Status.Position)
        Chosen = Index;
    backend::result_set Result =
        Group->query(Chosen, {"SELECT id, count(*) FROM " +
                                  std::string(LoadTable) + " GROUP BY id",
                              {}});
    for (const auto &Row : Result.Rows)
      Counts[Row[0].value_or("")] += std::stoll(Row[1].value_or("0"));
  }
  return Counts;
}

} // namespace radishrelay::cli
