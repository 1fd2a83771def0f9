#include "deployment.h"

#include "radishrelay/base/digest.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Thread.h>

#include <unistd.h>

#include <fstream>
#include <stdexcept>

namespace radishrelay::sessions {

namespace {

const std::vector<std::string> HostNames{"h1", "h2", "h3"};
const std::map<std::string, std::string> DomainOfHost{
    {"h1", "boston"}, {"h2", "hartford"}, {"h3", "portland"}};
const std::vector<std::string> DomainOfInstance{"boston", "hartford",
                                                "portland"};

/// Below the range from which the kernel takes the ports of outgoing
/// connections, so that none of them can take a chosen port meanwhile.
constexpr std::uint16_t FirstPort = 20000;
constexpr std::uint16_t PortCount = 12000;

bool isFree(std::uint16_t Port) {
  try {
    Poco::Net::ServerSocket Socket(Poco::Net::SocketAddress("127.0.0.1", Port));
    return true;
  } catch (const Poco::Exception &) {
    return false;
  }
}

/// A port that nothing listens on. The settings of all hosts name each other's
/// ports, so they must be known before the hosts start. Test programs that run
/// at the same time start their search at different ports.
std::uint16_t freePort() {
  static std::uint32_t Next = static_cast<std::uint32_t>(getpid()) * 97;
  while (true) {
    auto Port = static_cast<std::uint16_t>(FirstPort + Next++ % PortCount);
    if (isFree(Port))
      return Port;
  }
}

std::string loopback(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

base::json route(const std::string &Name, const std::string &Statement,
                 const std::string &Kind,
                 const std::vector<std::string> &Parameters) {
  base::json Route = base::json::object();
  Route["name"] = Name;
  Route["group"] = "permits";
  Route["statement"] = Statement;
  Route["kind"] = Kind;
  Route["idempotent"] = Kind == "read";
  Route["max_age_ms"] = nullptr;
  Route["open"] = false;
  Route["parameters"] = Parameters;
  return Route;
}

base::json routes() {
  base::json Routes = base::json::array();
  Routes.push_back(
      route("file-permit",
            "INSERT INTO permits(address, status) VALUES ($1, 'filed')",
            "write", {"address"}));
  Routes.push_back(route("withdraw-permit",
                         "UPDATE permits SET status = 'withdrawn' "
                         "WHERE address = $1",
                         "write", {"address"}));
  Routes.push_back(route("permit-status",
                         "SELECT address, status FROM permits "
                         "WHERE address = $1 ORDER BY id",
                         "read", {"address"}));
  base::json Browse =
      route("browse-permits", "SELECT address, status FROM permits ORDER BY id",
            "read", {});
  Browse["max_age_ms"] = 60000;
  Routes.push_back(Browse);
  base::json Open =
      route("count-permits", "SELECT count(*) AS n FROM permits", "read", {});
  Open["max_age_ms"] = 60000;
  Open["open"] = true;
  Routes.push_back(Open);
  return Routes;
}

} // namespace

deployment::deployment() {
  Directory.createDirectories();
  makeSecrets();
  startStandIns();
  for (const std::string &Host : HostNames)
    Ports[Host] = {freePort(), freePort(), freePort()};
  seedConfiguration();
  for (const std::string &Host : HostNames)
    startHost(Host);
  for (const std::string &Host : HostNames)
    Hosts.at(Host)->awaitLine("ready");
  for (const std::string &Host : HostNames)
    for (const auto &[Account, Key] : Keys)
      awaitTokens(Host, Key);
}

void deployment::awaitTokens(const std::string &Host, const std::string &Key) {
  // A fleet that starts as a whole has no tokens at first, since an earlier
  // one may have handed out the same shares.
  constexpr int MaxAttempts = 300;
  constexpr int IntervalMilliseconds = 100;
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    exchange_answer Answer = exchange({callers(Host),
                                       "POST",
                                       "/v1/routes/browse-permits",
                                       {{"Authorization", "Bearer " + Key}},
                                       "{}"});
    if (Answer.Status == 200)
      return;
    Poco::Thread::sleep(IntervalMilliseconds);
  }
  throw std::runtime_error("no tokens at host " + Host);
}

deployment::~deployment() = default;

std::string deployment::path(const std::string &Name) const {
  return Directory.path() + "/" + Name;
}

std::string deployment::callers(const std::string &Host) const {
  return loopback(Ports.at(Host).Callers);
}

std::string deployment::operators(const std::string &Host) const {
  return loopback(Ports.at(Host).Operators);
}

const std::string &deployment::keyOf(const std::string &Account) const {
  return Keys.at(Account);
}

void deployment::makeSecrets() {
  Accounts = base::json::array();
  for (const std::string Name : {"installers", "inspectors"}) {
    // Fixed secrets, so that a transcript can be searched for them.
    std::string Secret = "secret-of-" + Name + "-0123456789";
    std::string Salt = base::sha256("salt of " + Name).substr(0, 16);
    base::json Key = base::json::object();
    Key["id"] = "k-" + Name;
    Key["salt"] = base::encodeBase64Url(Salt);
    Key["digest"] = base::encodeBase64Url(base::hmacSha256(Salt, Secret));
    base::json Account = base::json::object();
    Account["id"] = Name;
    Account["rate_per_second"] = Name == "installers" ? 1000 : 200;
    Account["burst"] = Name == "installers" ? 2000 : 400;
    Account["keys"] = base::json::array({Key});
    Accounts.push_back(Account);
    Keys[Name] = "rr_k-" + Name + "_" + Secret;
  }
  OperatorToken = "token-of-anna";
  OperatorDigest = base::encodeHex(base::sha256(OperatorToken));
}

void deployment::startStandIns() {
  Platform = std::make_unique<test_process>(
      RADISHRELAY_COMMAND_PROGRAM,
      std::vector<std::string>{"stand-in", "platform"}, json_stream::Output);
  PlatformAddress = Platform->awaitLine("")["address"];
  std::ofstream(path("schema.sql"))
      << "CREATE TABLE permits(id INTEGER PRIMARY KEY, address TEXT, "
         "status TEXT)\n";
  Database = std::make_unique<test_process>(
      RADISHRELAY_COMMAND_PROGRAM,
      std::vector<std::string>{"stand-in", "database", "--schema",
                               path("schema.sql")},
      json_stream::Output);
  base::json Started = Database->awaitLine("");
  Instances = Started["instances"].get<std::vector<std::string>>();
  ControlAddress = Started["control"];
}

base::json deployment::configuration() const {
  base::json Group = base::json::object();
  Group["id"] = "permits";
  Group["slots"] = 3;
  Group["connections"] = 50;
  Group["instances"] = base::json::array();
  for (std::size_t Index = 0; Index < Instances.size(); ++Index) {
    base::json Instance = base::json::object();
    Instance["id"] = "permits-" + std::to_string(Index + 1);
    Instance["address"] = Instances[Index];
    Instance["failure_domain"] = DomainOfInstance[Index];
    Group["instances"].push_back(Instance);
  }
  base::json SessionKey = base::json::object();
  SessionKey["id"] = "s1";
  SessionKey["secret"] = "0123456789abcdef0123456789abcdef";
  base::json Document = base::json::object();
  Document["version"] = 1;
  Document["slot_count"] = 4;
  Document["floor_fraction_ppm"] = 300000;
  Document["accounts"] = Accounts;
  Document["groups"] = base::json::array({Group});
  Document["routes"] = routes();
  Document["session_keys"] = base::json::array({SessionKey});
  Document["witnesses"] = HostNames;
  return Document;
}

void deployment::seedConfiguration() {
  std::string File = path("configuration.json");
  std::ofstream(File) << configuration().dump(2);
  test_process Init(
      RADISHRELAY_COMMAND_PROGRAM,
      {"config", "init", "--platform", PlatformAddress, "--file", File},
      json_stream::Output);
  if (Init.wait() != 0)
    throw std::runtime_error("cannot store the configuration");
}

void deployment::writeSettings(const std::string &Host) {
  const host_ports &Own = Ports.at(Host);
  std::string Join;
  for (const auto &[Other, Address] : Ports)
    if (Other != Host)
      Join += (Join.empty() ? "" : ",") + loopback(Address.Peers);
  std::ofstream(path(Host + ".ini"))
      << "[host]\nid = " << Host
      << "\nfailure_domain = " << DomainOfHost.at(Host)
      << "\n[callers]\naddress = " << loopback(Own.Callers)
      << "\n[operators]\naddress = " << loopback(Own.Operators)
      << "\ntoken_digest.anna = " << OperatorDigest
      << "\n[peers]\naddress = " << loopback(Own.Peers) << "\njoin = " << Join
      << "\nsecret = secret-between-the-hosts\n[platform]\naddress = "
      << PlatformAddress << "\n[drain]\nbalancer_wait_ms = 100\n";
}

void deployment::startHost(const std::string &Host) {
  auto Former = Hosts.find(Host);
  if (Former != Hosts.end())
    EndedLogs[Host] += Former->second->output();
  writeSettings(Host);
  Hosts[Host] = std::make_unique<test_process>(
      RADISHRELAY_DAEMON_PROGRAM,
      std::vector<std::string>{"--settings", path(Host + ".ini")},
      json_stream::Error);
  Hosts[Host]->awaitLine("listening");
}

void deployment::signalHost(const std::string &Host, int Number) {
  Hosts.at(Host)->signal(Number);
}

int deployment::waitHost(const std::string &Host) {
  return Hosts.at(Host)->wait();
}

std::string deployment::hostLog(const std::string &Host) const {
  auto Ended = EndedLogs.find(Host);
  std::string Text = Ended == EndedLogs.end() ? "" : Ended->second;
  return Text + Hosts.at(Host)->output();
}

void deployment::setPlatformFault(const std::string &Mode) {
  base::json Fault = base::json::object();
  Fault["mode"] = Mode;
  Fault["delay_ms"] = 0;
  exchange({PlatformAddress, "POST", "/stand-in/faults", {}, Fault.dump()});
}

void deployment::injectFault(std::size_t Instance, const std::string &Fault,
                             std::uint64_t Milliseconds) {
  base::json Body = base::json::object();
  Body["instance"] = Instance;
  Body["fault"] = Fault;
  Body["ms"] = Milliseconds;
  exchange_answer Answer =
      exchange({ControlAddress, "POST", "/stand-in/faults", {}, Body.dump()});
  if (Answer.Status != 200)
    throw std::runtime_error("fault refused: " + Answer.Body);
}

std::string deployment::receivedByDatabase() const {
  return exchange({ControlAddress, "GET", "/stand-in/recorded", {}, ""}).Body;
}

base::json deployment::report() const {
  exchange_answer Answer =
      exchange({ControlAddress, "GET", "/stand-in/report", {}, ""});
  return base::json::parse(Answer.Body);
}

} // namespace radishrelay::sessions
