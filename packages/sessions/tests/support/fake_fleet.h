#ifndef RADISHRELAY_SESSIONS_TESTS_SUPPORT_FAKE_FLEET_H
#define RADISHRELAY_SESSIONS_TESTS_SUPPORT_FAKE_FLEET_H

#include "radishrelay/sessions/session_engine.h"

#include <map>
#include <string>
#include <vector>

namespace radishrelay::sessions::tests {

using namespace std::chrono_literals;

/// One instance of the fake group.
struct fake_instance {
  groups::instance_role Role = groups::instance_role::Replica;
  groups::log_position Log{1, 100};
  groups::term_number Fenced = 0;
  /// Answers nothing and opens no connection.
  bool IsDark = false;
  /// Rejects status calls as busy.
  bool ShedsCalls = false;
  /// Rejects each request that would run a statement with this.
  std::optional<refusal> Rejects;
};

/// A statement that reached an instance and awaits the test's answer.
struct held_statement {
  backend_number Connection;
  base::instance_id Instance;
  backend_request Request;
};

/// An engine with a group of three instances, a store and clients, all in
/// memory, under a clock that the test moves. The instances answer everything
/// but statements by themselves.
class fake_fleet : public client_port,
                   public backend_port,
                   public coordination_port,
                   public event_log {
public:
  fake_fleet();

  base::time_point now() const { return Now; }
  /// Moves the clock in steps of a millisecond.
  void run(base::duration Time);

  session_number connect(const std::string &Database,
                         const std::string &Key = "key-1");
  /// Sends a statement; its identifier is the text.
  void send(session_number Session, const std::string &Text);
  /// Sends a statement and lets the instances run it.
  client_answer ask(session_number Session, const std::string &Text);
  void disconnect(session_number Session);

  /// The answers to \p Session since the last call.
  std::vector<client_answer> answers(session_number Session);
  bool wasClosed(session_number Session) const {
    return Closed.contains(Session);
  }
  std::optional<refusal> rejection(session_number Session) const;

  /// Statements that await an answer.
  std::vector<held_statement> held() const { return Held; }
  /// Runs all held statements as the instances would.
  void runHeld();
  /// Answers one held statement.
  void reply(const held_statement &Statement, const backend_reply &Reply);
  void loseConnection(backend_number Connection);

  /// Replaces the listed instances by the present ones.
  void list();
  void setCatalog(std::uint64_t Version);

  session_engine &engine() { return *Engine; }
  fake_instance &instance(const std::string &Name) {
    return Instances.at(base::instance_id(Name));
  }
  catalog &configuration() { return Configuration; }
  std::map<base::instance_id, instance_listing> &listings() { return Listings; }
  /// All requests that reached instances, with the instance.
  std::vector<std::pair<base::instance_id, backend_request>> Requests;
  std::vector<std::pair<base::instance_id, std::uint64_t>> Orders;
  std::map<base::row_key, base::table_row> Rows;
  bool IsStoreDown = false;
  std::vector<std::pair<std::string, std::string>> Datagrams;
  /// The lines of the log of beliefs.
  std::vector<std::string> Beliefs;
  std::map<backend_number, base::instance_id> Open;
  std::map<backend_number, base::account_id> Accounts;

private:
  void accept(session_number) override {}
  void reject(session_number Session, refusal Reason,
              const std::string &) override;
  void answer(session_number Session, const client_answer &Answer) override;
  void close(session_number Session) override;
  void open(backend_number Connection, const instance_listing &Instance,
            const base::account_id &Account) override;
  void send(backend_number Connection, const backend_request &Request) override;
  void close(backend_number Connection) override;
  void execute(store_call_number Call,
               const base::store_request &Request) override;
  void promote(store_call_number Call, const base::group_id &Group,
               const base::instance_id &Instance,
               std::uint64_t Generation) override;
  void readCatalog(base::duration) override {}
  void readInstances(base::duration Wait) override {
    ListSentAt = Now;
    ListDueAt = Now + Wait;
  }
  void sendDatagram(const std::string &Address,
                    const std::string &Bytes) override;
  void stateChange(std::string_view Event, const base::json &Fields) override;
  void decision(std::string_view, const base::json &) override {}
  bool wantsDecision(bool) override { return true; }

  /// Answers the read of the list that is under way.
  void answerList();
  void settle();
  backend_reply runOn(fake_instance &Instance, const held_statement &Held);
  std::optional<backend_reply> controlReply(fake_instance &Instance,
                                            const backend_request &Request);
  instance_status condition(const fake_instance &Instance) const;
  base::store_answer runStore(const base::store_request &Request);

  base::time_point Now = base::fromMicroseconds(1'000'000);
  catalog Configuration;
  std::map<base::instance_id, fake_instance> Instances;
  std::map<base::instance_id, instance_listing> Listings;
  std::map<backend_number, session_phase> Phases;
  std::vector<held_statement> Held;
  std::vector<std::function<void()>> Due;
  std::map<session_number, std::vector<client_answer>> Answers;
  std::map<session_number, refusal> Rejections;
  std::set<session_number> Closed;
  std::uint64_t LastSession = 0;
  instance_reading Published;
  base::time_point ListSentAt;
  std::optional<base::time_point> ListDueAt;
  base::row_version LastVersion = 0;
  std::unique_ptr<session_engine> Engine;
};

/// Parses the statements that the tests use.
statement parse(const std::string &Text);

} // namespace radishrelay::sessions::tests

#endif
