#ifndef RADISHRELAY_SESSIONS_TESTS_SUPPORT_SIMULATED_HOST_H
#define RADISHRELAY_SESSIONS_TESTS_SUPPORT_SIMULATED_HOST_H

#include "event_queue.h"
#include "simulated_group.h"
#include "simulated_store.h"

#include "radishrelay/sessions/session_engine.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace radishrelay::sessions::tests {

/// Which operations the clients of a simulated fleet repeat.
enum class client_habit {
  /// A write, a read or a transaction with one write, on a primary route.
  Plain,
  /// Also transactions that read or roll back, and a route whose reads accept
  /// simulated_world::RecentStaleness.
  Varied,
  /// The same, most of them transactions that roll back: log positions hardly
  /// advance, so they don't tell answers apart.
  RollingBack,
};

/// What a client of a simulated host waits for.
enum class client_step {
  Idle,
  Reading,
  Writing,
  Beginning,
  InRead,
  InWrite,
  Committing,
  RollingBack,
};

/// What the clients of one host ask for.
struct client_load {
  std::size_t ClientsPerHost = 2;
  /// Time between the end of an operation and the next one of the client.
  base::duration Pause = std::chrono::milliseconds(15);
  /// Longest time between two statements of a transaction.
  base::duration MaxStatementPause{};

  friend bool operator==(const client_load &, const client_load &) = default;
};

/// What the hosts of a simulated fleet share.
struct simulated_world {
  static constexpr base::duration RecentStaleness =
      std::chrono::milliseconds(500);

  event_queue &Queue;
  simulated_network &Network;
  base::random_generator &Random;
  const simulated_groups &Groups;
  simulated_store &Store;
  catalog_ptr Configuration;
  /// Passes a datagram to the host at an address.
  std::function<void(const std::string &From, const std::string &Address,
                     const std::string &Bytes)>
      SendDatagram;
  /// Called when a host has written the claim of a promotion.
  std::function<void(const std::string &Host)> Claimed;
  /// Called when a statement or a BEGIN of a host reaches an instance.
  std::function<void(const std::string &Host, const simulated_instance &,
                     bool IsOfClient)>
      StatementArrived;
  /// Receives the state changes that hosts log.
  std::function<void(const std::string &)> Trace;
  client_habit Habit = client_habit::Plain;
  client_load Load{};
  /// Calls of all hosts to the tables of the store, by name.
  std::map<std::string, std::uint64_t> StoreCalls{};
  /// Numbers of the writes of all clients.
  std::uint64_t LastWrite = 0;
  std::uint64_t WritesDone = 0;
  std::uint64_t WritesFailed = 0;
  /// Errors that clients were given, by host.
  std::map<std::string, std::uint64_t> Refusals{};
};

/// One host of a simulated fleet: a session engine with its clients, driven by
/// events in virtual time.
class simulated_host : public client_port,
                       public backend_port,
                       public coordination_port,
                       public event_log {
public:
  simulated_host(simulated_world &World, const std::string &Name,
                 const std::string &Domain);

  [[nodiscard]] const std::string &name() const { return Name; }
  void start();
  /// Ends the process; its clients return after the next start.
  void kill();
  [[nodiscard]] bool isRunning() const { return Engine != nullptr; }
  /// Suspends the process: events wait until \p Until.
  void freeze(base::time_point Until) { FrozenUntil = Until; }
  [[nodiscard]] bool isFrozen() const {
    return World.Queue.now() < FrozenUntil;
  }
  void receiveDatagram(const std::string &Bytes);

private:
  struct client {
    session_number Session{};
    simulated_group *Group = nullptr;
    client_step Step = client_step::Idle;
    /// Further steps of the operation.
    std::span<const client_step> Remaining;
    base::time_point StartedAt;
    /// Age of the data that the session's route accepts for reads.
    base::duration Staleness{};
    std::uint64_t Write = 0;
    std::uint64_t Attempt = 0;
    /// Identifier of the last statement.
    std::string Statement;
  };
  struct open_connection {
    base::instance_id Instance;
    std::uint64_t Run = 0;
    /// Time of the last delivery to the instance, which keeps their order.
    base::time_point LastDelivery;
    /// Time of the last delivery of an answer.
    base::time_point LastAnswer;
    bool HasSecondAnswers = false;
    /// Requests that the host takes for unanswered, in their order.
    std::deque<backend_verb> Unanswered;
    /// Times at which answers arrive that the host has not read yet.
    std::deque<base::time_point> Arrivals;
    /// A message was lost, so nothing more arrives on this connection.
    bool IsSilent = false;
  };

  void accept(session_number) override {}
  void reject(session_number Session, refusal, const std::string &) override;
  void answer(session_number Session, const client_answer &Answer) override;
  void close(session_number Session) override;
  void open(backend_number Connection, const instance_listing &Instance,
            const base::account_id &Account) override;
  void send(backend_number Connection, const backend_request &Request) override;
  void close(backend_number Connection) override;
  bool hasUnreadInput(backend_number Connection) const override;
  void execute(store_call_number Call,
               const base::store_request &Request) override;
  void promote(store_call_number Call, const base::group_id &Group,
               const base::instance_id &Instance, std::uint64_t Generation,
               base::time_point Deadline) override;
  void readCatalog(base::duration Wait) override;
  void readInstances(base::duration Wait) override;
  void sendDatagram(const std::string &Address,
                    const std::string &Bytes) override;
  void stateChange(std::string_view Event, const base::json &Fields) override;
  void decision(std::string_view, const base::json &) override {}
  bool wantsDecision(bool) override { return false; }

  /// Passes an order to the platform; returns whether it was accepted.
  bool receiveOrder(const base::instance_id &Instance,
                    std::uint64_t Generation);
  /// Keeps an order in the path until the platform can be reached again, also
  /// if the host is killed meanwhile.
  void holdUpOrder(const base::instance_id &Instance, std::uint64_t Generation);
  /// Runs \p Event in this run of the process, after a freeze at its end.
  void deliverIn(base::duration Delay, std::function<void()> Event);
  void settle();
  void scheduleWake();
  void pollInstances(base::time_point SentAt, base::duration Wait);
  void pollCatalog(base::time_point SentAt, base::duration Wait);
  /// Returns false if the connection has been closed or is silent.
  bool receiveReply(backend_number Connection, backend_verb Verb,
                    const backend_reply &Reply);
  /// Lets the instance send an answer to \p Verb again.
  void sendAgain(backend_number Connection, backend_verb Verb,
                 const backend_reply &Reply, base::duration Delay);
  void deliverReply(backend_number Connection, const backend_reply &Reply);
  void traceSecondAnswer(backend_number Connection, backend_verb Verb);
  void loseConnection(backend_number Connection);
  [[nodiscard]] std::string connectionName(backend_number Connection) const;
  [[nodiscard]] base::duration latencyTo(const std::string &Node);

  void connectClient(std::size_t Index);
  void runClient(std::size_t Index);
  void clientAnswered(std::size_t Index, const client_answer &Answer);
  /// Returns whether the client has to end its session.
  bool clientRefused(const client &Client, refusal Reason);
  void clientSucceeded(const client &Client, const client_answer &Answer);
  std::span<const client_step> drawOperation();
  /// Sends the statement of the next step of an operation.
  void sendNext(std::size_t Index);
  /// Does so after the pause that the clients make in transactions.
  void pauseAndSendNext(std::size_t Index);
  [[nodiscard]] static std::string textOf(const client &Client);
  client *clientOf(session_number Session, std::size_t &Index);

  simulated_world &World;
  std::string Name;
  std::string Domain;
  std::unique_ptr<session_engine> Engine;
  std::uint64_t Run = 0;
  base::time_point FrozenUntil;
  base::time_point WakeAt = base::time_point::max();
  std::uint64_t LastSession = 0;
  std::uint64_t SeenListing = 0;
  std::uint64_t SeenEvacuations = 0;
  std::map<backend_number, open_connection> Open;
  std::vector<client> Clients;
};

} // namespace radishrelay::sessions::tests

#endif
