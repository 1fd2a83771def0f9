#ifndef RADISHRELAY_BACKEND_SRC_STAND_IN_SESSION_H
#define RADISHRELAY_BACKEND_SRC_STAND_IN_SESSION_H

#include "session_socket.h"
#include "statement_executor.h"
#include "wire_reader.h"
#include "wire_writer.h"

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>

namespace radishrelay::backend::detail {

/// One client connection to an instance: the server side of the protocol.
class stand_in_session {
public:
  /// Called with process number and secret of a CancelRequest.
  using cancel_handler = std::function<void(session_id, std::uint32_t)>;

  /// Takes ownership of \p Fd.
  stand_in_session(instance_context &Instance, session_id Id, int Fd,
                   cancel_handler OnCancel);
  ~stand_in_session();
  stand_in_session(const stand_in_session &) = delete;
  stand_in_session &operator=(const stand_in_session &) = delete;

  [[nodiscard]] int fd() const { return Socket.fd(); }
  [[nodiscard]] bool isClosed() const { return IsClosed; }
  [[nodiscard]] bool isBlockedOnSend() const { return Socket.isBlocked(); }
  /// True while it holds the write lock.
  [[nodiscard]] bool isWriting() const { return Instance.WriteLock.holds(Id); }
  [[nodiscard]] std::optional<base::time_point> wakeAt() const;

  void onReadable(base::time_point Now, std::string &Record);
  /// Continues with whatever is possible now.
  void proceed(base::time_point Now);
  /// Never answers again; rolls back.
  void silence();
  void cancel(std::uint32_t Secret);

private:
  enum class phase { Startup, Connecting, Ready };

  bool step(base::time_point Now);
  bool finishConnect(base::time_point Now);
  bool advanceStatement(base::time_point Now);
  bool readStartup(base::time_point Now);
  bool readMessage(base::time_point Now);
  void handle(char Type, wire_reader Body, base::time_point Now);
  void onParse(wire_reader &Body);
  void onBind(wire_reader &Body);
  void onDescribe(wire_reader &Body);
  void onExecute(wire_reader &Body, base::time_point Now);
  void onClose(wire_reader &Body);
  void onSync(base::time_point Now);
  void onQuery(wire_reader &Body, base::time_point Now);
  void nextOfQuery(base::time_point Now);
  void endQuery(base::time_point Now);
  void describeColumns(const prepared_shape &Shape);
  void writeOutcome(const statement_executor::outcome &Outcome);
  void writeError(const sql_error &Error);
  void endWithFatal(const sql_error &Error);
  void deliver(base::time_point Now);

  instance_context &Instance;
  session_id Id;
  session_socket Socket;
  cancel_handler OnCancel;
  statement_executor Executor;
  wire_writer Output;
  phase Phase = phase::Startup;
  base::time_point ConnectedAt;
  bool IsClosed = false;
  bool IsClosing = false;
  bool IsSilent = false;
  /// After an error in an extended query, until Sync.
  bool Skips = false;
  bool InSimpleQuery = false;
  std::deque<std::string> QueryParts;
  std::unordered_map<std::string, std::string> Statements;
  std::unordered_map<std::string, statement> Portals;
};

/// Secret that a client has to present to cancel the session.
std::uint32_t cancelSecret(session_id Id);

} // namespace radishrelay::backend::detail

#endif
