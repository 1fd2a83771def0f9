// The daemons under test, started as processes with the command and the
// settings template of the deploy file, and clients of them.
#ifndef REVIEW_DEPLOYMENT_HH
#define REVIEW_DEPLOYMENT_HH

#include "database.hh"
#include "template.hh"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

inline std::string readFile(const std::filesystem::path &File) {
  std::ifstream In(File);
  if (!In)
    throw std::runtime_error("cannot read " + File.string());
  std::stringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

/// Returns the value of the first line `Name = "value"` of a TOML text.
inline std::string tomlText(const std::string &Text, const std::string &Name) {
  std::size_t At = Text.find("\n" + Name + " = \"");
  if (At == std::string::npos)
    throw std::runtime_error("the deploy file has no " + Name);
  std::size_t Start = Text.find('"', At) + 1;
  return Text.substr(Start, Text.find('"', Start) - Start);
}

/// One daemon, as a process.
class daemon_process {
public:
  struct addresses {
    int Front = freePort();
    int Ready = freePort();
    int Metrics = freePort();
    int Peers = freePort(SOCK_DGRAM);
    int Store = 0;
    int Promotions = 0;
  };

  daemon_process(const std::filesystem::path &Root,
                 const std::filesystem::path &Folder, const std::string &Name,
                 const std::string &Zone, const addresses &Ports,
                 record &Record)
      : Name(Name), Ports(Ports), Record(Record) {
    std::string Deploy = readFile(Root / "deploy/system.toml");
    std::string Settings = readFile(Root / tomlText(Deploy, "template"));
    json Fields = {{"nodeName", Name},
                   {"zone", Zone},
                   {"listen",
                    {{"front", addressOf(Ports.Front)},
                     {"ready", addressOf(Ports.Ready)}}},
                   {"ipAddress", "127.0.0.1"},
                   {"internalPortRange", json::array({Ports.Metrics, Ports.Peers})},
                   {"platform", {{"address", addressOf(Ports.Store)}}},
                   {"cloudApi", {{"address", addressOf(Ports.Promotions)}}},
                   {"zones", {{Zone, "new-england"}}},
                   {"bounds",
                    {{"drainMs", 7000}, {"graceS", 6}, {"evacuationMs", 5000}}}};
    Settings = renderTemplate(Settings, Fields);
    std::filesystem::path File = Folder / (Name + ".ini");
    std::ofstream(File) << Settings;

    std::istringstream Command(tomlText(Deploy, "run"));
    for (std::string Word; Command >> Word;)
      Words.push_back(Word == "/etc/radishrelay/settings.yaml" ? File.string()
                                                               : Word);
    Words[0] = (Root / Words[0]).string();
    LogFile = (Folder / (Name + ".log")).string();
    start();
  }
  ~daemon_process() { kill(); }
  daemon_process(const daemon_process &) = delete;
  daemon_process &operator=(const daemon_process &) = delete;

  void start() {
    std::vector<char *> Arguments;
    for (std::string &Word : Words)
      Arguments.push_back(Word.data());
    Arguments.push_back(nullptr);
    Process = fork();
    if (Process < 0)
      throw std::runtime_error("cannot start " + Words[0]);
    if (Process == 0) {
      // The daemon ends with the scenario, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int Log = open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Log, STDOUT_FILENO);
      dup2(Log, STDERR_FILENO);
      execv(Arguments[0], Arguments.data());
      _exit(127);
    }
    Record.add(Name, "starts, process " + std::to_string(Process));
  }

  void signal(int Number) {
    Record.add(Name, std::string("gets SIG") + sigabbrev_np(Number));
    ::kill(Process, Number);
  }

  /// Whether the process has ended.
  bool hasEnded() {
    if (Process < 0)
      return true;
    int Status = 0;
    if (waitpid(Process, &Status, WNOHANG) != Process)
      return false;
    Record.add(Name,
               WIFEXITED(Status)
                   ? "exits with " + std::to_string(WEXITSTATUS(Status))
                   : "is ended by signal " + std::to_string(WTERMSIG(Status)));
    Process = -1;
    return true;
  }

  void kill() {
    if (hasEnded())
      return;
    ::kill(Process, SIGKILL);
    waitpid(Process, nullptr, 0);
    Process = -1;
  }

  bool isReady() const {
    int Socket = connectTo(Ports.Ready);
    if (Socket < 0)
      return false;
    sendAll(Socket, "GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
    reader Reader(Socket);
    auto Line = Reader.until("\r\n", clock::now() + 1s);
    close(Socket);
    return Line && Line->find(" 200 ") != std::string::npos;
  }

  [[nodiscard]] int front() const { return Ports.Front; }
  [[nodiscard]] const std::string &name() const { return Name; }
  [[nodiscard]] const std::string &logFile() const { return LogFile; }

private:
  std::string Name;
  addresses Ports;
  record &Record;
  std::vector<std::string> Words;
  std::string LogFile;
  pid_t Process = -1;
};

/// A client's session: one connection to a daemon, one statement at a time.
class client {
public:
  struct answer {
    std::vector<std::string> Rows;
    std::string Receipt;
    std::string Error;
    /// Whether the answer is whole: READY has arrived.
    bool IsWhole = false;
  };

  client(int Port, std::string Name, record &Record)
      : client(connectTo(Port), std::move(Name), Record, 0) {}
  /// Takes over a connected socket.
  client(int Socket, std::string Name, record &Record, int)
      : Socket(Socket), Name(std::move(Name)), Record(Record), Reader(Socket) {}
  ~client() {
    if (Socket >= 0)
      close(Socket);
  }
  client(const client &) = delete;
  client &operator=(const client &) = delete;

  bool start(const std::string &Database, const std::string &Key) {
    if (Socket < 0)
      return false;
    sendAll(Socket, "START " + Database + " " + Key + "\r\n");
    auto Line = Reader.until("\r\n", clock::now() + 2s);
    return Line && Line->starts_with("READY");
  }

  void send(const std::string &Id, const std::string &Text) {
    Record.add(Name, "sends QUERY " + Id + " " + Text);
    sendAll(Socket, "QUERY " + Id + " " + Text + "\r\n");
  }

  answer receive(clock::time_point Deadline) {
    answer Answer;
    while (auto Line = Reader.until("\r\n", Deadline)) {
      std::string Word = Line->substr(0, Line->find(' '));
      std::string Rest = Word.size() < Line->size()
                             ? Line->substr(Word.size() + 1)
                             : std::string();
      if (Word == "ROW")
        Answer.Rows.push_back(Rest);
      else if (Word == "COMPLETE")
        Answer.Receipt = Rest;
      else if (Word == "ERROR")
        Answer.Error = Rest;
      else if (Word == "READY") {
        Answer.IsWhole = true;
        break;
      }
    }
    Record.add(
        Name,
        "receives " + std::to_string(Answer.Rows.size()) + " rows" +
            (Answer.Rows.empty() ? "" : ", first: " + Answer.Rows[0]) +
            (Answer.Receipt.empty() ? "" : ", COMPLETE " + Answer.Receipt) +
            (Answer.Error.empty() ? "" : ", ERROR " + Answer.Error) +
            (Answer.IsWhole      ? ""
             : Reader.hasEnded() ? ", then the connection ends"
                                 : ", then nothing in time"));
    return Answer;
  }

  answer run(const std::string &Id, const std::string &Text,
             clock::duration Limit = 3s) {
    send(Id, Text);
    return receive(clock::now() + Limit);
  }

  [[nodiscard]] int socket() const { return Socket; }

private:
  int Socket;
  std::string Name;
  record &Record;
  reader Reader;
};

/// Waits until \p IsMet returns true; false after \p Limit.
inline bool waitFor(clock::duration Limit, const std::function<bool()> &IsMet) {
  auto Deadline = clock::now() + Limit;
  while (!IsMet()) {
    if (clock::now() >= Deadline)
      return false;
    std::this_thread::sleep_for(20ms);
  }
  return true;
}

/// Whether the disruption of the case is to be played.
inline bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

/// Exit codes of a case.
enum verdict { Held = 0, Broken = 1, NotRun = 2 };

} // namespace review

#endif
