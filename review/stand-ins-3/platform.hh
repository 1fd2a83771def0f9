// Stand-ins for the platform of a small deployment, on loopback: the store, the
// promotion service, and one database group of three instances.
#ifndef REVIEW_STAND_INS_3_PLATFORM_H
#define REVIEW_STAND_INS_3_PLATFORM_H

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace review {

using json = nlohmann::json;

/// Appends lines with the time since the start to record.txt.
class recorder {
public:
  void open(const std::string &FileName);
  void line(const std::string &Text);
  /// Milliseconds since open().
  double now() const;

private:
  std::mutex Mutex;
  int Descriptor = -1;
};

recorder &record();

/// Listens on a free loopback port and serves each connection on a thread.
class server {
public:
  using handler = std::function<void(int Socket)>;
  void start(handler Handle);
  int port() const { return Port; }
  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }

private:
  int Listening = -1;
  int Port = 0;
};

/// Returns a port that is free for TCP and UDP.
int freePort();
/// Connects to a loopback port; -1 if it is refused.
int connectTo(int Port);
bool sendAll(int Socket, const std::string &Bytes);

/// Reads lines that end with CR LF.
class line_reader {
public:
  explicit line_reader(int Socket) : Socket(Socket) {}
  /// Returns false at the end, or after \p TimeoutMs without a line; 0 waits
  /// for ever.
  bool next(std::string &Line, int TimeoutMs = 0);
  /// Reads \p Count bytes.
  bool bytes(std::string &Bytes, std::size_t Count);
  bool timedOut() const { return IsTimedOut; }

private:
  bool fill(int TimeoutMs);
  int Socket;
  std::string Buffer;
  std::size_t Searched = 0;
  bool IsTimedOut = false;
};

/// The platform's table store: rows-get, rows-feed and rows-tx.
class store {
public:
  void start();
  std::string address() const { return Http.address(); }
  /// Opens a front for one daemon; the instances stand there under the address
  /// for this daemon. Returns its address.
  std::string startFront();
  void put(const std::string &Table, const std::string &Key, const json &Value);
  /// Writes the entry of an instance that has an address for each front.
  void putListing(const std::string &Id, const json &Entry,
                  const std::vector<std::string> &Addresses);

private:
  struct row {
    std::uint64_t Version = 0;
    std::string Value; // base64
    bool IsDeleted = false;
    /// Values by front, if they differ.
    std::vector<std::string> Values;
  };
  using name = std::tuple<std::string, std::string, std::string>;

  void serve(int Socket, std::size_t Front);
  json rows(const std::map<std::string, std::string> &Query, std::size_t Front);
  json feed(const std::map<std::string, std::string> &Query, int &Status,
            std::size_t Front);
  json transact(const json &Body, int &Status);
  static json describe(const name &Name, const row &Row, std::size_t Front);

  server Http;
  std::vector<std::unique_ptr<server>> Fronts;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t Version = 100;
  std::map<name, row> Rows;
};

struct position {
  std::uint64_t Term = 0;
  std::uint64_t Number = 0;
  auto operator<=>(const position &) const = default;
  std::string text() const {
    return std::to_string(Term) + "." + std::to_string(Number);
  }
};

/// One database group: a primary and two replicas that receive each commit at
/// once. A commit is acknowledged once a replica has received it.
class database_group {
public:
  void start(std::string Service, store &Store,
             const std::vector<std::string> &Zones);
  /// Names the instance that takes over; the HTTP status of POST /promotion.
  int promote(const std::string &Id);
  const std::string &service() const { return Service; }
  /// Time that a read, write or commit takes.
  int WorkMs = 5;

private:
  struct instance {
    std::string Id;
    std::string Zone;
    bool IsPrimary = false;
    std::uint64_t Term = 1;
    position Log{1, 1000};
    std::uint64_t Held = 0;
    server Tcp;
    std::uint64_t Sequence = 0;
  };
  struct session {
    bool IsStarted = false;
    std::string Tenant;
    char Phase = 'I';
    bool IsReadOnly = false;
    bool HasWritten = false;
    std::map<std::string, std::string> Values;
    std::map<std::string, std::pair<std::string, std::string>> Prepared;
  };

  void serve(instance &Instance, int Socket);
  std::string query(instance &Instance, session &Session, std::string Fields);
  std::string run(instance &Instance, session &Session, const std::string &Id,
                  const std::string &Text, const std::string &Verb,
                  bool Writes);
  std::string end(const instance &Instance, const session &Session) const;
  std::string fail(const instance &Instance, session &Session,
                   const std::string &Code) const;
  bool commit(instance &Instance);
  void replicate();
  void checkIn();

  std::string Service;
  store *Store = nullptr;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<std::unique_ptr<instance>> Instances;
  std::uint64_t Receipts = 0;
};

/// The platform's service for singleton duties.
class duty_service {
public:
  using promote_function = std::function<int(const std::string &Id)>;
  void start(std::map<std::string, promote_function> Services);
  std::string address() const { return Http.address(); }

private:
  void serve(int Socket);
  server Http;
  std::map<std::string, promote_function> Services;
};

/// One radishrelayd, started with the command of the deploy file.
class daemon_process {
public:
  daemon_process(std::string Id, std::string Zone, std::string Folder,
                 std::string StoreAddress, std::string DutyAddress);
  ~daemon_process();
  void start();
  /// Sends SIGKILL and waits for the end.
  void kill();
  void signal(int Number) const;
  /// Whether the process has ended by itself.
  bool hasEnded();
  long residentKb() const;
  bool isReady() const;
  int front() const { return Front; }
  int pid() const { return Pid; }
  const std::string &id() const { return Id; }

private:
  std::string Id, Zone, Folder, Store, Duties;
  int Front, Ready, Metrics, Peers;
  int Pid = -1;
};

/// A client's session on a daemon.
class client {
public:
  ~client();
  bool start(int Port, const std::string &Database, const std::string &Key);
  /// Sends one statement and reads the answer. Returns the outcome: the receipt
  /// or "-" after "COMPLETE ", "ERROR CODE", or "no answer".
  std::string ask(const std::string &Text, int TimeoutMs = 5000);
  int socket() const { return Socket; }

private:
  int Socket = -1;
  std::unique_ptr<line_reader> Reader;
};

/// Returns the text of the configuration with one group, three routes
/// ("filing" primary, "lookup" bounded, "queue" own) and one tenant.
json configuration(const std::string &Service, std::uint64_t Version,
                   int SyncReplicas = 1,
                   const std::vector<std::string> &Keys = {"key1", "key2"});

std::string newId();

} // namespace review

#endif
