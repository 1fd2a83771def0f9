#include "stand_in_instance.h"

#include <algorithm>
#include <utility>

namespace radishrelay::backend::detail {

namespace {

/// Low bits of a poller key hold the instance's index + 1, since key 0 belongs
/// to the poller; the others hold the session, 0 for the listening socket.
constexpr unsigned IndexBits = 8;
constexpr std::uint64_t IndexMask = (1U << IndexBits) - 1;
constexpr session_id ListenerId = 0;

std::uint16_t portOf(const stand_in_options &Options, std::size_t Index) {
  return Index < Options.Ports.size() ? Options.Ports[Index] : 0;
}

groups::instance_role firstRole(std::size_t Index) {
  return Index == 0 ? groups::instance_role::Primary
                    : groups::instance_role::Replica;
}

} // namespace

stand_in_instance::stand_in_instance(const stand_in_options &Options,
                                     std::size_t Index, poller &Poller)
    : Context(Options, firstRole(Index)), Port(portOf(Options, Index)),
      Lag(Options.Lag), Index(Index), Poller(Poller),
      RecordLimit(Options.RecordLimitBytes) {
  Poller.add(Port.fd(), keyOf(ListenerId), EPOLLIN);
}

stand_in_instance::~stand_in_instance() {
  while (!Sessions.empty())
    close(Sessions.begin());
}

std::uint64_t stand_in_instance::keyOf(session_id Id) const {
  return (Id << IndexBits) | (Index + 1);
}

std::size_t stand_in_instance::indexOfKey(std::uint64_t Key) {
  return (Key & IndexMask) - 1;
}

void stand_in_instance::onReady(const epoll_event &Event,
                                base::time_point Now) {
  session_id Id = Event.data.u64 >> IndexBits;
  if (Id == ListenerId) {
    acceptAll();
    return;
  }
  auto Place = Sessions.find(Id);
  if (Place == Sessions.end())
    return;
  stand_in_session &Session = *Place->second.Session;
  if (Event.events & ~std::uint32_t(EPOLLOUT))
    Session.onReadable(Now, Record);
  else
    Session.proceed(Now);
  trimRecord();
  settle(Place);
}

void stand_in_instance::trimRecord() {
  if (Record.size() <= RecordLimit)
    return;
  Context.Counters.UnrecordedBytes += Record.size() - RecordLimit;
  Record.resize(RecordLimit);
}

void stand_in_instance::acceptAll() {
  auto OnCancel = [this](session_id Id, std::uint32_t Secret) {
    cancel(Id, Secret);
  };
  // The listening socket may have been closed by an earlier event.
  for (int Fd = IsAlive ? Port.accept() : -1; Fd >= 0; Fd = Port.accept()) {
    session_id Id = ++LastId;
    entry Entry;
    Entry.Session =
        std::make_unique<stand_in_session>(Context, Id, Fd, OnCancel);
    Sessions.emplace(Id, std::move(Entry));
    Poller.add(Fd, keyOf(Id), EPOLLIN);
  }
}

void stand_in_instance::settle(entry_map::iterator Place) {
  auto &[Id, Entry] = *Place;
  if (Entry.Session->isClosed()) {
    close(Place);
    return;
  }
  std::optional<base::time_point> WakeAt = Entry.Session->wakeAt();
  if (WakeAt != Entry.WakeAt) {
    if (Entry.WakeAt)
      Timers.erase({*Entry.WakeAt, Id});
    if (WakeAt)
      Timers.emplace(*WakeAt, Id);
    Entry.WakeAt = WakeAt;
  }
  bool NeedsOutput = Entry.Session->isBlockedOnSend();
  if (NeedsOutput == Entry.PollsOutput)
    return;
  Poller.modify(Entry.Session->fd(), keyOf(Id),
                NeedsOutput ? EPOLLIN | EPOLLOUT : EPOLLIN);
  Entry.PollsOutput = NeedsOutput;
}

void stand_in_instance::close(entry_map::iterator Place) {
  auto &[Id, Entry] = *Place;
  if (Entry.WakeAt)
    Timers.erase({*Entry.WakeAt, Id});
  Sessions.erase(Place);
}

void stand_in_instance::proceed(base::time_point Now) {
  std::vector<session_id> Due = std::exchange(Context.Runnable, {});
  for (auto Timer = Timers.begin(); Timer != Timers.end(); ++Timer) {
    if (Timer->first > Now)
      break;
    Due.push_back(Timer->second);
  }
  for (session_id Id : Due) {
    auto Place = Sessions.find(Id);
    if (Place == Sessions.end())
      continue;
    Place->second.Session->proceed(Now);
    settle(Place);
  }
}

std::optional<base::time_point> stand_in_instance::wakeAt() const {
  if (!Context.Runnable.empty())
    return base::time_point();
  if (Timers.empty())
    return std::nullopt;
  return Timers.begin()->first;
}

stand_in_report stand_in_instance::report(base::time_point Now) const {
  stand_in_report Report = Context.Counters;
  Report.Alive = IsAlive;
  Report.Status = Context.Store.Log.status(Now);
  return Report;
}

void stand_in_instance::follow(const stand_in_instance &Primary,
                               base::time_point Now) {
  replicated_log &Log = Context.Store.Log;
  bool WasPrimary = Log.role() == groups::instance_role::Primary;
  Log.follow(Primary.Context.Store.Log, Now - Lag);
  if (!WasPrimary)
    return;
  // The client of the open write transaction must not take it for committed.
  auto Writer =
      std::find_if(Sessions.begin(), Sessions.end(), [](const auto &Entry) {
        return Entry.second.Session->isWriting();
      });
  if (Writer != Sessions.end())
    close(Writer);
}

void stand_in_instance::kill() {
  if (!std::exchange(IsAlive, false))
    return;
  Poller.remove(Port.fd());
  Port.close();
  while (!Sessions.empty())
    close(Sessions.begin());
}

void stand_in_instance::revive() {
  if (std::exchange(IsAlive, true))
    return;
  Port.open();
  Poller.add(Port.fd(), keyOf(ListenerId), EPOLLIN);
}

void stand_in_instance::silence() {
  for (auto Place = Sessions.begin(); Place != Sessions.end(); ++Place) {
    Place->second.Session->silence();
    settle(Place);
  }
}

void stand_in_instance::cancel(session_id Id, std::uint32_t Secret) {
  auto Place = Sessions.find(Id);
  if (Place != Sessions.end())
    Place->second.Session->cancel(Secret);
}

} // namespace radishrelay::backend::detail
