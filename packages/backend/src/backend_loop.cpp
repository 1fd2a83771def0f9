#include "backend_loop.h"

#include "radishrelay/backend/backend_error.h"

namespace radishrelay::backend::detail {

namespace {

/// Key 0 belongs to the poller, and identifiers may start at 0.
std::uint64_t toKey(connection_id Id) { return Id + 1; }
connection_id toId(std::uint64_t Key) { return Key - 1; }

base::failure closedBy(const char *Step, const std::string &Address) {
  return {backend_error::Closed, Step, Address, ""};
}

const char *stepOf(pg_connection::state State) {
  return State == pg_connection::state::Connecting ? "connect"
                                                   : "run statements";
}

} // namespace

void backend_loop::run() {
  while (!Commands.closed()) {
    std::optional<base::time_point> Next;
    if (!Deadlines.empty())
      Next = Deadlines.begin()->first;
    auto Ready = Poller.wait(Next);
    // Before the events: a thread that was paused past a deadline must not
    // deliver an answer that arrived after it.
    endOverdue();
    for (const epoll_event &Event : Ready)
      onReady(Event);
    takeCommands();
    deliverEvents();
  }
  dropAll();
  refuseRemaining();
  deliverEvents();
}

void backend_loop::takeCommands() {
  while (std::optional<backend_command> Command = Commands.tryPop())
    std::visit([this](const auto &C) { handle(C); }, *Command);
}

void backend_loop::deliverEvents() {
  for (backend_event &Event : Events)
    Sink(std::move(Event));
  Events.clear();
}

void backend_loop::handle(const open_connection &Command) {
  entry Entry;
  Entry.Connection = std::make_unique<pg_connection>(Command, Options);
  auto [Place, IsNew] =
      Entries.try_emplace(Command.Connection, std::move(Entry));
  if (!IsNew)
    return;
  setDeadline(Command.Connection, Place->second, Command.Deadline);
  settle(Place, pg_connection::state::Connecting);
}

void backend_loop::handle(const run_statements &Command) {
  auto Place = Entries.find(Command.Connection);
  if (Place == Entries.end())
    return refuse(Command, {backend_error::NotOpen, "send statements", "", ""});
  entry &Entry = Place->second;
  pg_connection &Connection = *Entry.Connection;
  const std::string &Address = Connection.address();
  if (Connection.currentState() == pg_connection::state::Connecting)
    return refuse(Command,
                  {backend_error::NotOpen, "send statements", Address, ""});
  if (Connection.currentState() != pg_connection::state::Idle)
    return refuse(Command, {backend_error::ConnectionBusy, "send statements",
                            Address, ""});
  if (Command.Deadline <= base::monotonic_clock::now())
    return refuse(Command,
                  {backend_error::TimedOut, "send statements", Address, ""});
  if (base::failure Invalid = checkStatements(Command, Address))
    return refuse(Command, Invalid);
  setDeadline(Command.Connection, Entry, Command.Deadline);
  Connection.startRun(Command);
  settle(Place, pg_connection::state::Running);
}

void backend_loop::handle(const close_connection &Command) {
  auto Place = Entries.find(Command.Connection);
  if (Place != Entries.end())
    drop(Place,
         closedBy("close connection", Place->second.Connection->address()));
}

void backend_loop::refuse(const run_statements &Command,
                          const base::failure &Reason) {
  run_finished Event;
  Event.Connection = Command.Connection;
  Event.Run = Command.Run;
  Event.Failure = Reason;
  Event.SentAt = base::monotonic_clock::now();
  Events.emplace_back(std::move(Event));
}

void backend_loop::onReady(const epoll_event &Event) {
  auto Place = Entries.find(toId(Event.data.u64));
  if (Place == Entries.end())
    return;
  pg_connection &Connection = *Place->second.Connection;
  pg_connection::state Before = Connection.currentState();
  Connection.proceed(Event.events);
  settle(Place, Before);
}

void backend_loop::settle(entry_map::iterator Place,
                          pg_connection::state Before) {
  auto &[Id, Entry] = *Place;
  pg_connection &Connection = *Entry.Connection;
  std::optional<run_finished> Finished = Connection.takeFinished();
  bool IsOpened = Before == pg_connection::state::Connecting &&
                  Connection.currentState() == pg_connection::state::Idle;
  if (Finished || IsOpened)
    clearDeadline(Id, Entry);
  if (IsOpened)
    Events.emplace_back(connection_opened{Id});
  if (Finished)
    Events.emplace_back(std::move(*Finished));
  if (Connection.currentState() == pg_connection::state::Failed)
    drop(Place, Connection.failure());
  else
    updatePolling(Id, Entry);
}

void backend_loop::updatePolling(connection_id Id, entry &Entry) {
  int Fd = Entry.Connection->socket();
  std::uint32_t Events = Entry.Connection->interest();
  if (Fd != Entry.PolledFd)
    Poller.add(Fd, toKey(Id), Events);
  else if (Events != Entry.PolledEvents)
    Poller.modify(Fd, toKey(Id), Events);
  Entry.PolledFd = Fd;
  Entry.PolledEvents = Events;
}

void backend_loop::setDeadline(connection_id Id, entry &Entry,
                               base::time_point Deadline) {
  clearDeadline(Id, Entry);
  Entry.Deadline = Deadline;
  Entry.HasDeadline = true;
  Deadlines.emplace(Deadline, Id);
}

void backend_loop::clearDeadline(connection_id Id, entry &Entry) {
  if (Entry.HasDeadline)
    Deadlines.erase({Entry.Deadline, Id});
  Entry.HasDeadline = false;
}

void backend_loop::endOverdue() {
  base::time_point Now = base::monotonic_clock::now();
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now) {
    auto Place = Entries.find(Deadlines.begin()->second);
    const pg_connection &Connection = *Place->second.Connection;
    drop(Place, {backend_error::TimedOut, stepOf(Connection.currentState()),
                 Connection.address(), ""});
  }
}

void backend_loop::drop(entry_map::iterator Place,
                        const base::failure &Reason) {
  auto &[Id, Entry] = *Place;
  base::failure Failure = Reason;
  clearDeadline(Id, Entry);
  std::optional<run_finished> Run = Entry.Connection->abandonRun(Failure);
  connection_id Connection = Id;
  // Closed before the events, so that who reads them finds the connection
  // gone. The kernel removes a closed socket from the poller.
  Entries.erase(Place);
  if (Run)
    Events.emplace_back(std::move(*Run));
  Events.emplace_back(connection_closed{Connection, std::move(Failure)});
}

void backend_loop::dropAll() {
  while (!Entries.empty()) {
    auto Place = Entries.begin();
    drop(Place, closedBy("stop", Place->second.Connection->address()));
  }
}

void backend_loop::refuseRemaining() {
  while (std::optional<backend_command> Command = Commands.tryPop()) {
    if (auto *Open = std::get_if<open_connection>(&*Command))
      Events.emplace_back(
          connection_closed{Open->Connection, closedBy("stop", Open->Address)});
    else if (auto *Run = std::get_if<run_statements>(&*Command))
      refuse(*Run, closedBy("stop", ""));
  }
}

} // namespace radishrelay::backend::detail
