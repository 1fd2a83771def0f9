#include "platform.hh"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

namespace review {

namespace {

using namespace std::chrono_literals;
const auto Start = std::chrono::steady_clock::now();

std::string takeWord(std::string &Rest) {
  auto End = std::min(Rest.find(' '), Rest.size());
  std::string Word = Rest.substr(0, End);
  Rest.erase(0, std::min(End + 1, Rest.size()));
  return Word;
}

const char *Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(const std::string &Text) {
  std::string Out;
  unsigned Bits = 0;
  int Count = 0;
  for (unsigned char Byte : Text) {
    Bits = Bits << 8 | Byte;
    for (Count += 8; Count >= 6; Count -= 6)
      Out += Alphabet[Bits >> (Count - 6) & 63];
  }
  if (Count > 0)
    Out += Alphabet[Bits << (6 - Count) & 63];
  while (Out.size() % 4)
    Out += '=';
  return Out;
}

struct http_request {
  std::string Method, Path, Body;
  std::map<std::string, std::string> Query;
};

bool readRequest(line_reader &Reader, http_request &Request) {
  std::string Line;
  if (!Reader.next(Line))
    return false;
  Request = {};
  Request.Method = takeWord(Line);
  std::string Target = takeWord(Line);
  std::size_t Length = 0;
  while (Reader.next(Line) && !Line.empty()) {
    std::string Lower = Line;
    for (char &Character : Lower)
      Character = static_cast<char>(tolower(Character));
    if (Lower.rfind("content-length:", 0) == 0)
      Length = std::stoul(Line.substr(15));
  }
  if (Length > 0 && !Reader.bytes(Request.Body, Length))
    return false;
  auto Mark = Target.find('?');
  Request.Path = Target.substr(0, Mark);
  if (Mark != std::string::npos) {
    std::stringstream Parts(Target.substr(Mark + 1));
    std::string Part;
    while (std::getline(Parts, Part, '&')) {
      auto Equal = Part.find('=');
      Request.Query[Part.substr(0, Equal)] =
          Equal == std::string::npos ? "" : Part.substr(Equal + 1);
    }
  }
  return true;
}

bool answer(int Socket, int Status, const json &Body) {
  std::string Text = Body.is_null() ? "{}" : Body.dump();
  return sendAll(Socket, "HTTP/1.1 " + std::to_string(Status) +
                             " X\r\nContent-Type: application/json\r\n"
                             "Store-Era: 1\r\nContent-Length: " +
                             std::to_string(Text.size()) + "\r\n\r\n" + Text);
}

std::int64_t steadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

} // namespace

void recorder::open(const std::string &FileName) {
  Descriptor =
      ::open(FileName.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
}

double recorder::now() const {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - Start)
      .count();
}

void recorder::line(const std::string &Text) {
  std::lock_guard Lock(Mutex);
  char Time[32];
  snprintf(Time, sizeof(Time), "%10.1f ", now());
  constexpr std::size_t MaxShown = 160;
  std::string Shown = Text.size() > MaxShown
                          ? Text.substr(0, MaxShown) + "... (" +
                                std::to_string(Text.size()) + " bytes)"
                          : Text;
  for (char &Character : Shown)
    if (Character == '\r' || Character == '\n')
      Character = ' ';
  std::string Line = Time + Shown + "\n";
  [[maybe_unused]] auto Written = write(Descriptor, Line.data(), Line.size());
}

recorder &record() {
  static recorder Recorder;
  return Recorder;
}

void server::start(handler Handle) {
  Listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Address);
  if (bind(Listening, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
      listen(Listening, 512) != 0)
    throw std::runtime_error("cannot listen");
  getsockname(Listening, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port = ntohs(Address.sin_port);
  std::thread([this, Handle] {
    while (true) {
      int Socket = accept4(Listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        continue;
      int One = 1;
      setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
      std::thread([Handle, Socket] {
        Handle(Socket);
        close(Socket);
      }).detach();
    }
  }).detach();
}

int freePort() {
  while (true) {
    int Tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int Udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Address);
    bind(Tcp, reinterpret_cast<sockaddr *>(&Address), Size);
    getsockname(Tcp, reinterpret_cast<sockaddr *>(&Address), &Size);
    bool IsFree = bind(Udp, reinterpret_cast<sockaddr *>(&Address), Size) == 0;
    close(Tcp);
    close(Udp);
    if (IsFree)
      return ntohs(Address.sin_port);
  }
}

int connectTo(int Port) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address),
              sizeof(Address)) != 0) {
    close(Socket);
    return -1;
  }
  int One = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  return Socket;
}

bool sendAll(int Socket, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Count =
        send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

bool line_reader::fill(int TimeoutMs) {
  if (TimeoutMs > 0) {
    pollfd Entry{Socket, POLLIN, 0};
    if (poll(&Entry, 1, TimeoutMs) <= 0) {
      IsTimedOut = true;
      return false;
    }
  }
  char Bytes[65536];
  ssize_t Count = recv(Socket, Bytes, sizeof(Bytes), 0);
  if (Count <= 0)
    return false;
  Buffer.append(Bytes, static_cast<std::size_t>(Count));
  return true;
}

bool line_reader::next(std::string &Line, int TimeoutMs) {
  while (true) {
    auto End = Buffer.find("\r\n", Searched);
    if (End != std::string::npos) {
      Line = Buffer.substr(0, End);
      Buffer.erase(0, End + 2);
      Searched = 0;
      return true;
    }
    Searched = Buffer.empty() ? 0 : Buffer.size() - 1;
    if (!fill(TimeoutMs))
      return false;
  }
}

bool line_reader::bytes(std::string &Bytes, std::size_t Count) {
  while (Buffer.size() < Count)
    if (!fill(0))
      return false;
  Bytes = Buffer.substr(0, Count);
  Buffer.erase(0, Count);
  Searched = 0;
  return true;
}

void store::start() {
  Http.start([this](int Socket) { serve(Socket, 0); });
}

std::string store::startFront() {
  std::size_t Number = Fronts.size();
  Fronts.push_back(std::make_unique<server>());
  Fronts.back()->start([this, Number](int Socket) { serve(Socket, Number); });
  return Fronts.back()->address();
}

void store::putListing(const std::string &Id, const json &Entry,
                       const std::vector<std::string> &Addresses) {
  row Row;
  for (const std::string &Address : Addresses) {
    json Value = Entry;
    Value["address"] = Address;
    Row.Values.push_back(toBase64(Value.dump()));
  }
  Row.Value = Row.Values.front();
  std::lock_guard Lock(Mutex);
  Row.Version = ++Version;
  Rows[{"servers", "", Id}] = Row;
  Changed.notify_all();
}

void store::put(const std::string &Table, const std::string &Key,
                const json &Value) {
  std::lock_guard Lock(Mutex);
  Rows[{Table, "", Key}] = {++Version,
                            Value.is_null() ? "" : toBase64(Value.dump()),
                            Value.is_null(),
                            {}};
  Changed.notify_all();
}

json store::describe(const name &Name, const row &Row, std::size_t Front) {
  json Result = {{"tableName", std::get<0>(Name)},
                 {"part", std::get<1>(Name)},
                 {"key", std::get<2>(Name)},
                 {"rowVersion", Row.Version}};
  if (Row.IsDeleted)
    Result["deleted"] = true;
  else
    Result["value"] = Front < Row.Values.size() ? Row.Values[Front] : Row.Value;
  return Result;
}

void store::serve(int Socket, std::size_t Front) {
  line_reader Reader(Socket);
  http_request Request;
  while (readRequest(Reader, Request)) {
    int Status = 200;
    json Body;
    if (Request.Path == "/v1/rows-get")
      Body = rows(Request.Query, Front);
    else if (Request.Path == "/v1/rows-feed")
      Body = feed(Request.Query, Status, Front);
    else if (Request.Path == "/v1/rows-tx")
      Body = transact(json::parse(Request.Body), Status);
    else
      Status = 404;
    if (!answer(Socket, Status, Body))
      return;
  }
}

json store::rows(const std::map<std::string, std::string> &Query,
                 std::size_t Front) {
  std::lock_guard Lock(Mutex);
  json List = json::array();
  std::size_t Limit =
      Query.contains("limit") ? std::stoul(Query.at("limit")) : 500;
  for (const auto &[Name, Row] : Rows) {
    bool IsWanted =
        std::get<0>(Name) == Query.at("tableName") &&
        std::get<1>(Name) == Query.at("part") && !Row.IsDeleted &&
        (!Query.contains("from") || std::get<2>(Name) >= Query.at("from"));
    if (IsWanted && List.size() < Limit)
      List.push_back(describe(Name, Row, Front));
  }
  return {{"rows", List},
          {"hasMore", false},
          {"rowVersion", Version},
          {"nowMs", steadyMs()}};
}

json store::feed(const std::map<std::string, std::string> &Query, int &Status,
                 std::size_t Front) {
  std::unique_lock Lock(Mutex);
  std::uint64_t After = std::stoull(Query.at("after"));
  if (After > Version) {
    Status = 410;
    return {};
  }
  auto Until = std::chrono::steady_clock::now() +
               std::chrono::milliseconds(std::stol(Query.at("waitMs")));
  std::map<std::uint64_t, json> Found;
  while (true) {
    for (const auto &[Name, Row] : Rows)
      if (std::get<0>(Name) == Query.at("tableName") && Row.Version > After)
        Found[Row.Version] = describe(Name, Row, Front);
    if (!Found.empty() ||
        Changed.wait_until(Lock, Until) == std::cv_status::timeout)
      break;
  }
  json List = json::array();
  for (auto &[Number, Row] : Found)
    List.push_back(Row);
  return {{"rows", List}, {"rowVersion", Version}, {"nowMs", steadyMs()}};
}

json store::transact(const json &Body, int &Status) {
  std::lock_guard Lock(Mutex);
  json Current = json::array();
  bool IsMet = true;
  auto NameOf = [](const json &Entry) {
    return name{Entry.at("tableName"), Entry.at("part"), Entry.at("key")};
  };
  for (const json &Entry : Body.value("precondition", json::array())) {
    auto Found = Rows.find(NameOf(Entry));
    bool IsPresent = Found != Rows.end() && !Found->second.IsDeleted;
    std::uint64_t Known = IsPresent ? Found->second.Version : 0;
    IsMet = IsMet && Known == Entry.at("rowVersion").get<std::uint64_t>();
    if (IsPresent)
      Current.push_back(describe(Found->first, Found->second, 0));
  }
  if (!IsMet) {
    Status = 412;
    return {{"rows", Current}, {"rowVersion", Version}, {"nowMs", steadyMs()}};
  }
  ++Version;
  for (const json &Entry : Body.value("puts", json::array()))
    Rows[NameOf(Entry)] = {Version, Entry.at("value"), false, {}};
  for (const json &Entry : Body.value("deletes", json::array()))
    Rows[NameOf(Entry)] = {Version, "", true, {}};
  Changed.notify_all();
  return {{"rowVersion", Version}, {"nowMs", steadyMs()}};
}

void database_group::start(std::string Name, store &TheStore,
                           const std::vector<std::string> &Zones) {
  Service = std::move(Name);
  Store = &TheStore;
  for (std::size_t Index = 0; Index < Zones.size(); ++Index) {
    auto &Instance = *Instances.emplace_back(std::make_unique<instance>());
    Instance.Id = "i-" + std::to_string(Index) + newId().substr(0, 6);
    Instance.Zone = Zones[Index];
    Instance.IsPrimary = Index == 0;
    Instance.Tcp.start(
        [this, &Instance](int Socket) { serve(Instance, Socket); });
  }
  checkIn();
  std::thread([this] {
    while (true) {
      std::this_thread::sleep_for(1200ms);
      checkIn();
    }
  }).detach();
}

void database_group::checkIn() {
  std::lock_guard Lock(Mutex);
  static const std::int64_t Born =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  for (auto &Instance : Instances)
    Store->put("servers", Instance->Id,
               {{"service", Service},
                {"address", Instance->Tcp.address()},
                {"zone", Instance->Zone},
                {"configVersion", "v1"},
                {"slots", 3},
                {"state", "ready"},
                {"coldRemainingMs", 0},
                {"databaseRole", Instance->IsPrimary ? "primary" : "replica"},
                {"born", Born},
                {"sequence", ++Instance->Sequence}});
}

std::string database_group::end(const instance &Instance,
                                const session &Session) const {
  return std::string("READY ") + Session.Phase + " " + Instance.Log.text() +
         "\r\n";
}

std::string database_group::fail(const instance &Instance, session &Session,
                                 const std::string &Code) const {
  if (Session.Phase == 'T')
    Session.Phase = 'E';
  return "ERROR " + Code + " " + Instance.Id + "\r\n" + end(Instance, Session);
}

void database_group::serve(instance &Instance, int Socket) {
  line_reader Reader(Socket);
  session Session;
  std::string Line;
  while (Reader.next(Line)) {
    std::string Fields = Line;
    std::string Word = takeWord(Fields);
    std::string Answer;
    if (!Session.IsStarted) {
      std::string Name = takeWord(Fields);
      Session.Tenant = takeWord(Fields);
      if (Word != "START" || Name != Service || Fields != Instance.Id) {
        sendAll(Socket, "ERROR MISROUTED " + Instance.Id + "\r\n");
        return;
      }
      Session.IsStarted = true;
      std::this_thread::sleep_for(12ms);
      std::lock_guard Lock(Mutex);
      Answer = end(Instance, Session);
    } else if (Word == "QUERY") {
      Answer = query(Instance, Session, Fields);
    } else {
      return;
    }
    if (!sendAll(Socket, Answer))
      return;
  }
}

std::string database_group::query(instance &Instance, session &Session,
                                  std::string Fields) {
  std::string Id = takeWord(Fields);
  std::string Text = Fields;
  std::string Rest = Fields;
  std::string Verb = takeWord(Rest);
  if (Verb == "AFTER") {
    std::string Needed = takeWord(Rest);
    Text = Rest;
    Verb = takeWord(Rest);
    auto Dot = Needed.find('.');
    position Wanted{std::stoull(Needed.substr(0, Dot)),
                    std::stoull(Needed.substr(Dot + 1))};
    std::lock_guard Lock(Mutex);
    if (Instance.Log < Wanted)
      return fail(Instance, Session, "LAGGING");
  }
  std::unique_lock Lock(Mutex);
  if (Session.Phase == 'E' && Verb != "ROLLBACK" && Verb != "COMMIT")
    return fail(Instance, Session, "MALFORMED");
  auto Done = [&] { return "COMPLETE -\r\n" + end(Instance, Session); };
  auto Status = [&] {
    return std::string("ROW ") +
           (Instance.IsPrimary ? "primary " : "replica ") +
           std::to_string(Instance.Term) + " " + Instance.Log.text() + " " +
           std::to_string(Instance.Held) + " 0 0 1\r\n" + Done();
  };
  if (Verb == "STATUS")
    return Status();
  if (Verb == "PAUSE") {
    if (!Instance.IsPrimary && std::stoull(Rest) > Instance.Term)
      Instance.Held = std::stoull(Rest);
    return Status();
  }
  if (Verb == "RESUME") {
    Instance.Held = 0;
    replicate();
    return Status();
  }
  if (Verb == "DEMOTE") {
    if (Instance.IsPrimary && std::stoull(Rest) > Instance.Term)
      Instance.IsPrimary = false;
    return Status();
  }
  if (Verb == "RESET") {
    Session.Values.clear();
    Session.Prepared.clear();
    return Done();
  }
  if (Verb == "SET") {
    std::string Name = takeWord(Rest);
    Session.Values[Name] = Rest;
    return Done();
  }
  if (Verb == "PREPARE") {
    std::string Name = takeWord(Rest);
    std::string Kind = takeWord(Rest);
    Session.Prepared[Name] = {Kind, Rest};
    return Done();
  }
  if (Verb == "BEGIN") {
    Session.IsReadOnly = Rest == "READ";
    if (!Session.IsReadOnly && !Instance.IsPrimary)
      return fail(Instance, Session, "READONLY");
    Session.Phase = 'T';
    Session.HasWritten = false;
    return Done();
  }
  if (Verb == "ROLLBACK") {
    Session.Phase = 'I';
    return Done();
  }
  bool Writes = Verb == "WRITE";
  if (Verb == "EXECUTE") {
    auto Entry = Session.Prepared.find(takeWord(Rest));
    if (Entry == Session.Prepared.end())
      return fail(Instance, Session, "NOSUCHNAME");
    Writes = Entry->second.first == "WRITE";
  }
  Lock.unlock();
  std::this_thread::sleep_for(std::chrono::milliseconds(WorkMs));
  Lock.lock();
  return run(Instance, Session, Id, Text, Verb, Writes);
}

std::string database_group::run(instance &Instance, session &Session,
                                const std::string &Id, const std::string &Text,
                                const std::string &Verb, bool Writes) {
  if (Writes && (!Instance.IsPrimary || Session.IsReadOnly))
    return fail(Instance, Session, "READONLY");
  bool IsCommit = Verb == "COMMIT";
  bool Commits = IsCommit ? Session.HasWritten : Writes && Session.Phase == 'I';
  if (Writes && Session.Phase == 'T')
    Session.HasWritten = true;
  if (Commits && !commit(Instance))
    return fail(Instance, Session, "TIMEOUT");
  if (IsCommit)
    Session.Phase = 'I';
  record().line("run " + Instance.Id + " " + Session.Tenant + " " + Id + " " +
                Text);
  std::string Rows = Writes || IsCommit ? "" : "ROW abc\r\n";
  return Rows + "COMPLETE r." + Instance.Id + "." + std::to_string(++Receipts) +
         "\r\n" + end(Instance, Session);
}

bool database_group::commit(instance &Instance) {
  if (!Instance.IsPrimary)
    return false;
  Instance.Log = {Instance.Term, Instance.Log.Number + 1};
  replicate();
  for (auto &Other : Instances)
    if (!Other->IsPrimary && Other->Log >= Instance.Log)
      return true;
  return false;
}

void database_group::replicate() {
  instance *Leader = nullptr;
  for (auto &Instance : Instances)
    if (Instance->IsPrimary && (!Leader || Instance->Term > Leader->Term))
      Leader = Instance.get();
  if (!Leader)
    return;
  for (auto &Instance : Instances)
    if (!Instance->IsPrimary && Instance->Held <= Leader->Term) {
      Instance->Log = Leader->Log;
      Instance->Term = Leader->Term;
    }
}

int database_group::promote(const std::string &Id) {
  std::lock_guard Lock(Mutex);
  for (auto &Instance : Instances) {
    if (Instance->Id != Id)
      continue;
    if (Instance->IsPrimary)
      return 200;
    std::uint64_t Term = 0;
    for (auto &Other : Instances) {
      Term = std::max(Term, Other->Term);
      Other->IsPrimary = false;
    }
    Instance->IsPrimary = true;
    Instance->Term = Term + 1;
    Instance->Held = 0;
    record().line("promoted " + Id);
    return 200;
  }
  return 409;
}

void duty_service::start(std::map<std::string, promote_function> NewServices) {
  Services = std::move(NewServices);
  Http.start([this](int Socket) { serve(Socket); });
}

void duty_service::serve(int Socket) {
  line_reader Reader(Socket);
  http_request Request;
  while (readRequest(Reader, Request)) {
    int Status = 409;
    json Body = json::parse(Request.Body, nullptr, false);
    if (Body.is_object() && Services.contains(Body.value("service", "")))
      Status = Services.at(Body["service"])(Body.value("id", ""));
    record().line("POST /promotion " + Request.Body + ": " +
                  std::to_string(Status));
    if (!answer(Socket, Status, {}))
      return;
  }
}

daemon_process::daemon_process(std::string Id, std::string Zone,
                               std::string Folder, std::string Store,
                               std::string Duties)
    : Id(std::move(Id)), Zone(std::move(Zone)), Folder(std::move(Folder)),
      Store(std::move(Store)), Duties(std::move(Duties)), Front(freePort()),
      Ready(freePort()), Metrics(freePort()), Peers(freePort()) {
  auto Address = [](int Port) { return "127.0.0.1:" + std::to_string(Port); };
  std::ofstream File(this->Folder + "/" + this->Id + ".ini");
  File << "[host]\nid = " << this->Id << "\nfailure_domain = " << this->Zone
       << "\n[sessions]\naddress = " << Address(Front)
       << "\n[readiness]\naddress = " << Address(Ready)
       << "\npath = /v1/readiness\n[metrics]\naddress = " << Address(Metrics)
       << "\n[peers]\naddress = " << Address(Peers)
       << "\n[store]\naddress = " << this->Store
       << "\n[promotions]\naddress = " << this->Duties
       << "\n[drain]\nleaving_ms = 7000\ngrace_ms = 6000\n[regions]\n"
          "domain.ne-boston = new-england\ndomain.ne-hartford = new-england\n"
          "domain.ne-portland = new-england\n";
}

daemon_process::~daemon_process() { kill(); }

void daemon_process::start() {
  std::string Settings = Folder + "/" + Id + ".ini";
  std::string Log = Folder + "/" + Id + ".log";
  Pid = fork();
  if (Pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL); // also if this program is ended
    int Out = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(Out, 1);
    dup2(Out, 2);
    setenv("RADISHRELAY_NODE_FILE", Settings.c_str(), 1);
    execl("target/packages/daemon/radishrelayd",
          "target/packages/daemon/radishrelayd", "--serve-sessions",
          Settings.c_str(), nullptr);
    _exit(127);
  }
}

void daemon_process::kill() {
  if (Pid <= 0)
    return;
  ::kill(Pid, SIGKILL);
  waitpid(Pid, nullptr, 0);
  Pid = -1;
}

void daemon_process::signal(int Number) const {
  if (Pid > 0)
    ::kill(Pid, Number);
}

bool daemon_process::hasEnded() {
  if (Pid <= 0)
    return true;
  int Status = 0;
  if (waitpid(Pid, &Status, WNOHANG) != Pid)
    return false;
  record().line(Id + " has ended by itself, status " + std::to_string(Status));
  Pid = -1;
  return true;
}

long daemon_process::residentKb() const {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/status");
  std::string Line;
  while (std::getline(File, Line))
    if (Line.rfind("VmRSS:", 0) == 0)
      return std::stol(Line.substr(6));
  return 0;
}

bool daemon_process::isReady() const {
  int Socket = connectTo(Ready);
  if (Socket < 0)
    return false;
  sendAll(Socket, "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
  line_reader Reader(Socket);
  std::string Line;
  bool IsOk =
      Reader.next(Line, 1000) && Line.find(" 200 ") != std::string::npos;
  close(Socket);
  return IsOk;
}

client::~client() {
  if (Socket >= 0)
    close(Socket);
}

bool client::start(int Port, const std::string &Database,
                   const std::string &Key) {
  Socket = connectTo(Port);
  if (Socket < 0)
    return false;
  Reader = std::make_unique<line_reader>(Socket);
  std::string Line;
  return sendAll(Socket, "START " + Database + " " + Key + "\r\n") &&
         Reader->next(Line, 2000) && Line.rfind("READY", 0) == 0;
}

std::string client::ask(const std::string &Text, int TimeoutMs) {
  std::string Line, Outcome = "no answer";
  if (Socket < 0 || !sendAll(Socket, "QUERY " + newId() + " " + Text + "\r\n"))
    return Outcome;
  while (Reader->next(Line, TimeoutMs)) {
    if (Line.rfind("COMPLETE", 0) == 0)
      Outcome = Line;
    else if (Line.rfind("ERROR", 0) == 0)
      Outcome = Line;
    else if (Line.rfind("READY", 0) == 0)
      return Outcome;
  }
  return "no answer";
}

json configuration(const std::string &Service, std::uint64_t Version,
                   int SyncReplicas, const std::vector<std::string> &Keys) {
  auto Route = [&](const char *Database, const char *Kind, int Timeout, int Aim,
                   int Staleness) {
    json Result = {{"name", std::string("r-") + Database},
                   {"databaseName", Database},
                   {"prefix", "/"},
                   {"routeKind", Kind},
                   {"timeoutMs", Timeout},
                   {"targetLatencyMs", Aim},
                   {"priority", 1},
                   {"service", Service},
                   {"maxAttempts", 2},
                   {"allowAnonymous", false}};
    if (Staleness > 0)
      Result["maxStalenessMs"] = Staleness;
    return Result;
  };
  return {{"configVersion", Version},
          {"routes",
           {Route("filing", "primary", 800, 150, 0),
            Route("lookup", "bounded_staleness", 2000, 500, 1500),
            Route("queue", "read_your_writes", 800, 250, 2500)}},
          {"services",
           {{{"name", Service},
             {"healthPath", "/health"},
             {"connectionLimit", 48},
             {"protocol", "h1"},
             {"tls", false},
             {"syncReplicas", SyncReplicas}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 262144},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000},
            {"transactionIdleMs", 3000}}},
          {"tenants",
           {{{"name", "nypu920"},
             {"apiKeys", Keys},
             {"priority", 1},
             {"ratePerS", 142},
             {"burst", 142}}}}};
}

std::string newId() {
  static std::mutex Mutex;
  static std::mt19937_64 Random(std::random_device{}());
  std::lock_guard Lock(Mutex);
  char Text[20];
  snprintf(Text, sizeof(Text), "%016llx",
           static_cast<unsigned long long>(Random()));
  return Text;
}

} // namespace review
