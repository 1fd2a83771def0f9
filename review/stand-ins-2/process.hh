/// \file
/// One process of the project, started with the command of the deploy file.
#ifndef REVIEW_STAND_INS_2_PROCESS_HH
#define REVIEW_STAND_INS_2_PROCESS_HH

#include "base.hh"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <atomic>
#include <csignal>
#include <sstream>

namespace review2 {

/// Fills in a template of settings as the platform does.
class settings_template {
public:
  static std::string render(const std::string &Text, const json &Fields) {
    return section(Text, {&Fields}, nullptr);
  }

private:
  using scope = std::vector<const json *>;

  static const json *find(const std::string &Name, const scope &Scope) {
    if (Name == ".")
      return Scope.back();
    for (auto Entry = Scope.rbegin(); Entry != Scope.rend(); ++Entry)
      if (const json *Found = member(**Entry, Name))
        return Found;
    return nullptr;
  }

  static const json *member(const json &From, const std::string &Name) {
    const json *Current = &From;
    std::stringstream Parts(Name);
    for (std::string Part; std::getline(Parts, Part, '.');) {
      if (Current->is_object() && Current->contains(Part))
        Current = &Current->at(Part);
      else if (Current->is_array() && std::isdigit(Part.front()) &&
               std::stoul(Part) < Current->size())
        Current = &Current->at(std::stoul(Part));
      else
        return nullptr;
    }
    return Current;
  }

  static std::string section(const std::string &Text, const scope &Scope,
                             const std::string *Key) {
    std::string Result;
    std::size_t At = 0;
    for (std::size_t Open = 0;
         (Open = Text.find("{{", At)) != std::string::npos;) {
      Result += Text.substr(At, Open - At);
      std::size_t Close = Text.find("}}", Open);
      std::string Tag = Text.substr(Open + 2, Close - Open - 2);
      At = Close + 2;
      if (Tag == "@") {
        Result += Key ? *Key : "";
        continue;
      }
      if (Tag.front() != '#') {
        const json *Value = find(Tag, Scope);
        Result += !Value               ? ""
                  : Value->is_string() ? Value->get<std::string>()
                                       : Value->dump();
        continue;
      }
      std::string Name = Tag.substr(1);
      std::string End = "{{/" + Name + "}}";
      std::size_t EndAt = Text.find(End, At);
      std::string Body = Text.substr(At, EndAt - At);
      At = EndAt + End.size();
      const json *Value = find(Name, Scope);
      if (!Value || Value->is_null() || *Value == json(false))
        continue;
      bool IsEach = Value->is_object() || Value->is_array();
      if (!IsEach)
        Result += section(Body, Scope, Key);
      else
        for (const auto &Entry : Value->items()) {
          scope Inner = Scope;
          Inner.push_back(&Entry.value());
          std::string InnerKey = Entry.key();
          Result += section(Body, Inner, &InnerKey);
        }
    }
    return Result + Text.substr(At);
  }
};

class process {
public:
  struct options {
    std::string Root;
    std::string Folder;
    std::string Name;
    std::string Zone;
    std::string Ip;
    int PlatformPort = 0;
    std::string PlatformIp;
    /// Descriptors that the process may open; 0 for no limit.
    int FileDescriptors = 0;
  };

  process(options NewOptions, record &Record)
      : Options(std::move(NewOptions)), Record(Record) {
    for (int *Port : {&Front, &Ready, &Metrics})
      *Port = freePort(Options.Ip);
    int Peers = freePort(Options.Ip, SOCK_DGRAM);
    auto On = [&](const std::string &Ip, int Port) {
      return Ip + ":" + std::to_string(Port);
    };
    std::string Platform = On(Options.PlatformIp, Options.PlatformPort);
    json Fields = {
        {"nodeName", Options.Name},
        {"zone", Options.Zone},
        {"region", "new-england"},
        {"ipAddress", Options.Ip},
        {"zones",
         {{"ne-boston", "new-england"},
          {"ne-hartford", "new-england"},
          {"ne-portland", "new-england"}}},
        {"listen",
         {{"front", On(Options.Ip, Front)}, {"ready", On(Options.Ip, Ready)}}},
        {"internalPortRange", json::array({Metrics, Peers})},
        {"platform", {{"address", Platform}}},
        {"cloudApi", {{"address", Platform}}},
        {"limits", {{"memoryMb", 182}, {"fileDescriptors", 3010}}},
        {"bounds", {{"drainMs", 7000}, {"graceS", 6}}}};
    std::ifstream In(Options.Root + "/deploy/settings.ini.template");
    std::stringstream Text;
    Text << In.rdbuf();
    if (!In)
      throw std::runtime_error("cannot read the template of the settings");
    std::ofstream(settingsFile())
        << settings_template::render(Text.str(), Fields);
  }
  ~process() { end(SIGKILL); }
  process(const process &) = delete;
  process &operator=(const process &) = delete;

  void start() {
    std::string Program = Options.Root + "/target/packages/daemon/radishrelayd";
    if (access(Program.c_str(), X_OK) != 0)
      throw std::runtime_error("not built: " + Program);
    pid_t Started = fork();
    if (Started == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      std::string File = Options.Folder + "/" + Options.Name + ".log";
      int Log = open(File.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Log, STDOUT_FILENO);
      dup2(Log, STDERR_FILENO);
      if (Options.FileDescriptors > 0) {
        auto Most = static_cast<rlim_t>(Options.FileDescriptors);
        rlimit Limit{Most, Most};
        setrlimit(RLIMIT_NOFILE, &Limit);
      }
      execl(Program.c_str(), Program.c_str(), "--serve-sessions",
            settingsFile().c_str(), nullptr);
      _exit(127);
    }
    Process = Started;
    Record.add(Options.Name, "starts, process " + std::to_string(Started));
  }

  /// Sends a signal and waits for the end of the process.
  void end(int Signal) {
    if (Process <= 0)
      return;
    kill(Process, Signal);
    waitpid(Process, nullptr, 0);
    Process = -1;
  }
  void signal(int Number) { kill(Process, Number); }

  /// Whether the process has ended by itself; it is collected then.
  bool hasEnded() {
    int Status = 0;
    if (Process <= 0 || waitpid(Process, &Status, WNOHANG) != Process)
      return false;
    Record.add(Options.Name,
               "ended by itself, status " + std::to_string(Status));
    Process = -1;
    return true;
  }

  /// Memory of the process in units of 2^20 bytes.
  [[nodiscard]] double memoryMb() const {
    std::ifstream In("/proc/" + std::to_string(Process) + "/statm");
    long Size = 0;
    long Resident = 0;
    In >> Size >> Resident;
    return static_cast<double>(Resident) *
           static_cast<double>(sysconf(_SC_PAGESIZE)) / 1048576;
  }

  [[nodiscard]] int connect() const { return connectTo(Options.Ip, Front); }
  [[nodiscard]] const std::string &name() const { return Options.Name; }

  /// Asks for the readiness as the platform does.
  [[nodiscard]] bool isReady() const {
    int Socket = connectTo(Options.Ip, Ready);
    if (Socket < 0)
      return false;
    line_reader Reader(Socket);
    sendAll(Socket, "GET /v1/readiness HTTP/1.1\r\nHost: a\r\n\r\n");
    std::optional<std::string> Line = Reader.line(clock::now() + 1s);
    close(Socket);
    return Line && Line->find(" 200 ") != std::string::npos;
  }
  bool awaitReady(std::chrono::seconds Limit) const {
    auto Deadline = clock::now() + Limit;
    while (!isReady()) {
      if (clock::now() >= Deadline)
        return false;
      std::this_thread::sleep_for(100ms);
    }
    return true;
  }

private:
  [[nodiscard]] std::string settingsFile() const {
    return Options.Folder + "/" + Options.Name + ".ini";
  }

  options Options;
  record &Record;
  int Front = 0;
  int Ready = 0;
  int Metrics = 0;
  std::atomic<pid_t> Process{-1};
};

} // namespace review2

#endif
