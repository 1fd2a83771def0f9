#ifndef RADISHRELAY_BACKEND_SRC_PG_CONNECTION_H
#define RADISHRELAY_BACKEND_SRC_PG_CONNECTION_H

#include "radishrelay/backend/backend_command.h"
#include "radishrelay/backend/backend_event.h"
#include "radishrelay/backend/backend_thread_options.h"

#include <libpq-fe.h>

#include <memory>
#include <optional>

namespace radishrelay::backend::detail {

/// One libpq connection in pipeline mode with at most one run.
class pg_connection {
public:
  enum class state { Connecting, Idle, Running, Failed };

  pg_connection(const open_connection &Command,
                const backend_thread_options &Options);
  ~pg_connection();
  pg_connection(const pg_connection &) = delete;
  pg_connection &operator=(const pg_connection &) = delete;

  [[nodiscard]] state currentState() const { return State; }
  [[nodiscard]] const std::string &address() const { return Address; }
  /// Why the connection failed.
  [[nodiscard]] const base::failure &failure() const { return Failure; }
  [[nodiscard]] int socket() const { return PQsocket(Handle.get()); }
  /// Epoll events to wait for.
  [[nodiscard]] std::uint32_t interest() const { return Interest; }

  /// Continues to connect, send or receive after the socket became ready.
  void proceed(std::uint32_t Events);

  /// Sends all statements and a Sync. The connection must be idle and the
  /// statements valid.
  void startRun(const run_statements &Command);

  /// Ends the run, if there is one, because of \p Reason.
  std::optional<run_finished> abandonRun(const base::failure &Reason);

  /// Returns the run that has ended since the last call.
  std::optional<run_finished> takeFinished();

private:
  struct finish_connection {
    void operator()(PGconn *Connection) const { PQfinish(Connection); }
  };

  void continueConnect();
  void enterPipeline();
  void flush();
  void receive();
  void takeResult(PGresult *Result);
  void takeError(PGresult *Result);
  void completeRun();
  void fail(std::error_code Code, const char *Step, std::string Detail);
  [[nodiscard]] std::string libraryMessage() const;

  std::string Address;
  std::unique_ptr<PGconn, finish_connection> Handle;
  state State = state::Connecting;
  std::uint32_t Interest;
  base::failure Failure;
  std::optional<run_finished> Run;
  std::size_t ExpectedResults = 0;
  bool RunEnded = false;
};

/// Returns why libpq cannot send the statements, or no error.
base::failure checkStatements(const run_statements &Command,
                              const std::string &Address);

} // namespace radishrelay::backend::detail

#endif
