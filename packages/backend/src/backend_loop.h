#ifndef RADISHRELAY_BACKEND_SRC_BACKEND_LOOP_H
#define RADISHRELAY_BACKEND_SRC_BACKEND_LOOP_H

#include "pg_connection.h"
#include "poller.h"
#include "radishrelay/backend/backend_thread.h"
#include "radishrelay/base/bounded_ring.h"

#include <set>
#include <unordered_map>
#include <utility>

namespace radishrelay::backend::detail {

/// The work of the backend thread: connections, deadlines and commands.
class backend_loop {
public:
  backend_loop(const backend_thread_options &Options,
               base::bounded_ring<backend_command> &Commands, poller &Poller,
               backend_thread::event_sink Sink)
      : Options(Options), Commands(Commands), Poller(Poller),
        Sink(std::move(Sink)) {}

  /// Serves until the command ring is closed, then ends all connections.
  void run();

private:
  struct entry {
    std::unique_ptr<pg_connection> Connection;
    int PolledFd = -1;
    std::uint32_t PolledEvents = 0;
    base::time_point Deadline;
    bool HasDeadline = false;
  };
  using entry_map = std::unordered_map<connection_id, entry>;

  void takeCommands();
  void deliverEvents();
  void handle(const open_connection &Command);
  void handle(const run_statements &Command);
  void handle(const close_connection &Command);
  void refuse(const run_statements &Command, const base::failure &Reason);
  void onReady(const epoll_event &Event);
  /// Reports what has happened on a connection and updates its polling.
  void settle(entry_map::iterator Place, pg_connection::state Before);
  void updatePolling(connection_id Id, entry &Entry);
  void setDeadline(connection_id Id, entry &Entry, base::time_point Deadline);
  void clearDeadline(connection_id Id, entry &Entry);
  void endOverdue();
  /// Ends the run, reports the end of the connection and closes it.
  void drop(entry_map::iterator Place, const base::failure &Reason);
  void dropAll();
  /// Answers commands that arrived before the stop without executing them.
  void refuseRemaining();

  const backend_thread_options &Options;
  base::bounded_ring<backend_command> &Commands;
  poller &Poller;
  backend_thread::event_sink Sink;
  entry_map Entries;
  /// Events of the current pass. Delivered together, since the receiver would
  /// otherwise be woken for the first and fall asleep before the next.
  std::vector<backend_event> Events;
  std::set<std::pair<base::time_point, connection_id>> Deadlines;
};

} // namespace radishrelay::backend::detail

#endif
