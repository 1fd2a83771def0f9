#include "radishrelay/sessions/detail/backend_pool.h"

#include <algorithm>

namespace radishrelay::sessions::detail {

namespace {

/// Connections that each host may open whatever its part is, so that each
/// instance can be used and asked for its status. With so many hosts that this
/// exceeds the limit, connections are opened for use and not kept.
constexpr std::size_t SmallestPart = 2;
/// A client that has received an answer may send its next statement meanwhile.
constexpr base::duration IdleWithoutPart = std::chrono::milliseconds(50);
/// A connection for status calls is kept until a prober's next call.
constexpr base::duration IdleControl = std::chrono::milliseconds(650);
constexpr std::size_t PartWithoutLimit = 16;
/// Connections above this host's part while the instance has room: load differs
/// between hosts, and few hosts need them at a time.
constexpr std::size_t ExtraConnections = 1;
/// How long an instance that has rejected a connection gets no more than this
/// host's part.
constexpr base::duration LimitPause = std::chrono::seconds(2);
/// An idle connection above this host's part is closed after this time.
constexpr base::duration IdleAbovePart = std::chrono::milliseconds(500);
/// Time for the rollback of an abandoned transaction; longer than any work.
constexpr base::duration CleanTimeout = std::chrono::milliseconds(2000);

} // namespace

backend_pool::backend_pool(const engine_options &Options, backend_port &Port)
    : Options(Options), Port(Port) {}

void backend_pool::setInstances(
    const std::map<base::instance_id, instance_listing> &List,
    base::time_point Now) {
  Latest = Now;
  for (const auto &[Instance, Listing] : List) {
    instance_state &State = Instances[Instance];
    bool IsMoved = !State.Listing.Address.empty() &&
                   (State.Listing.Address != Listing.Address ||
                    State.Listing.StartedAt != Listing.StartedAt);
    State.Listing = Listing;
    // Idle connections to an earlier process of the instance are dead.
    if (!IsMoved)
      continue;
    std::vector<backend_number> Old(State.Connections.begin(),
                                    State.Connections.end());
    for (backend_number Number : Old)
      if (Connections.at(Number).Use == connection_use::Idle)
        discard(Number);
  }
  std::erase_if(Instances, [&](const auto &Entry) {
    return !List.contains(Entry.first) && Entry.second.Connections.empty();
  });
}

void backend_pool::setLimit(const base::group_id &Group, std::int64_t Limit,
                            std::size_t Hosts) {
  double Usable =
      static_cast<double>(Limit) * (1.0 - Options.ConnectionReserve);
  double Part = Usable / static_cast<double>(std::max<std::size_t>(1, Hosts));
  auto Whole = static_cast<std::size_t>(Part);
  Limits[Group] = {std::max(SmallestPart, Whole), Whole >= SmallestPart};
}

std::size_t backend_pool::softLimit(const base::group_id &Group) const {
  auto Entry = Limits.find(Group);
  return Entry == Limits.end() ? PartWithoutLimit : Entry->second.Part;
}

std::size_t backend_pool::hardLimit(const instance_state &State) const {
  std::size_t Part = softLimit(State.Listing.Group);
  return Latest < State.LimitedUntil ? Part : Part + ExtraConnections;
}

backend_connection *
backend_pool::idleFor(const instance_state &State,
                      const base::account_id &Account,
                      const std::map<std::string, std::string> *Values) {
  backend_connection *Best = nullptr;
  for (backend_number Number : State.Connections) {
    backend_connection &Connection = Connections.at(Number);
    if (Connection.Use != connection_use::Idle || Connection.Account != Account)
      continue;
    if (!Values || Connection.Values == *Values)
      return &Connection;
    Best = &Connection;
  }
  return Best;
}

backend_connection *backend_pool::oldestIdle(const instance_state &State) {
  backend_connection *Oldest = nullptr;
  for (backend_number Number : State.Connections) {
    backend_connection &Connection = Connections.at(Number);
    if (Connection.Use == connection_use::Idle &&
        (!Oldest || Connection.IdleSince < Oldest->IdleSince))
      Oldest = &Connection;
  }
  return Oldest;
}

pool_room backend_pool::room(const base::instance_id &Instance,
                             const base::account_id &Account) const {
  auto Entry = Instances.find(Instance);
  if (Entry == Instances.end())
    return pool_room::Full;
  const instance_state &State = Entry->second;
  bool HasIdle = false;
  for (backend_number Number : State.Connections) {
    const backend_connection &Connection = Connections.at(Number);
    if (Connection.Use != connection_use::Idle)
      continue;
    if (Connection.Account == Account)
      return pool_room::Idle;
    HasIdle = true;
  }
  bool HasRoom = HasIdle || State.Connections.size() < hardLimit(State);
  return HasRoom ? pool_room::Open : pool_room::Full;
}

bool backend_pool::hasRoomFor(const base::instance_id &Instance,
                              const base::account_id &Account) const {
  auto Entry = Instances.find(Instance);
  if (Entry == Instances.end())
    return false;
  const instance_state &State = Entry->second;
  return State.Connections.size() < softLimit(State.Listing.Group) ||
         room(Instance, Account) == pool_room::Idle;
}

std::size_t backend_pool::busy(const base::instance_id &Instance) const {
  auto Entry = Instances.find(Instance);
  if (Entry == Instances.end())
    return 0;
  return static_cast<std::size_t>(std::ranges::count_if(
      Entry->second.Connections, [this](backend_number Number) {
        return Connections.at(Number).Session.has_value();
      }));
}

backend_connection &backend_pool::open(instance_state &State,
                                       const base::account_id &Account,
                                       base::time_point Now) {
  backend_number Number{++LastNumber};
  backend_connection &Connection = Connections[Number];
  Connection.Number = Number;
  Connection.Group = State.Listing.Group;
  Connection.Instance = State.Listing.Instance;
  Connection.Account = Account;
  Connection.Deadline = Now + Options.OpenTimeout;
  State.Connections.insert(Number);
  Port.open(Number, State.Listing, Account);
  return Connection;
}

bool backend_pool::makeRoom(instance_state &State, base::time_point Now) {
  std::size_t Count = State.Connections.size();
  if (Count < softLimit(State.Listing.Group))
    return true;
  backend_connection *Oldest = oldestIdle(State);
  bool IsAtLimit = Count >= hardLimit(State);
  // A connection that was used recently is worth more than the room it takes:
  // opening another costs the instance as much as a statement.
  bool IsReplaceable =
      Oldest && (IsAtLimit || Now >= Oldest->IdleSince + IdleAbovePart);
  if (IsReplaceable)
    discard(Oldest->Number);
  return IsReplaceable || !IsAtLimit;
}

backend_connection *
backend_pool::acquire(const base::instance_id &Instance,
                      const base::account_id &Account, session_number Session,
                      const std::map<std::string, std::string> &Values,
                      base::time_point Now) {
  Latest = Now;
  auto Entry = Instances.find(Instance);
  if (Entry == Instances.end())
    return nullptr;
  instance_state &State = Entry->second;
  if (backend_connection *Idle = idleFor(State, Account, &Values)) {
    Idle->Use = connection_use::Session;
    Idle->Session = Session;
    return Idle;
  }
  if (!makeRoom(State, Now))
    return nullptr;
  backend_connection &Opened = open(State, Account, Now);
  Opened.Session = Session;
  return &Opened;
}

void backend_pool::release(backend_connection &Connection,
                           base::time_point Now) {
  Connection.WasControl = Connection.Use == connection_use::Control;
  Connection.Use = connection_use::Idle;
  Connection.Session.reset();
  Connection.IdleSince = Now;
  Connection.Deadline = base::time_point::max();
  if (!Instances.contains(Connection.Instance))
    discard(Connection.Number);
}

void backend_pool::discard(backend_number Number) {
  auto Entry = Connections.find(Number);
  if (Entry == Connections.end())
    return;
  auto State = Instances.find(Entry->second.Instance);
  if (State != Instances.end())
    State->second.Connections.erase(Number);
  Connections.erase(Entry);
  Port.close(Number);
}

void backend_pool::clean(backend_connection &Connection, base::time_point Now) {
  Connection.Session.reset();
  Connection.Use = connection_use::Cleaning;
  Connection.Deadline = Now + CleanTimeout;
  backend_request Rollback;
  Rollback.Verb = backend_verb::Rollback;
  send(Connection, Rollback, Now);
}

void backend_pool::call(const base::instance_id &Instance,
                        const base::account_id &Account,
                        const backend_request &Request, base::time_point Now) {
  auto Entry = Instances.find(Instance);
  if (Entry == Instances.end())
    return;
  backend_connection *Connection = oldestIdle(Entry->second);
  // On a busy instance commits prove the primary; a status call is not worth
  // a connection beyond the limit, a promotion is.
  bool IsStatus = Request.Verb == backend_verb::Status;
  bool IsFull = Entry->second.Connections.size() >= hardLimit(Entry->second);
  if (!Connection && IsStatus && IsFull)
    return;
  if (!Connection) {
    backend_connection &Opened = open(Entry->second, Account, Now);
    Opened.FirstCall = Request;
    return;
  }
  Connection->Use = connection_use::Control;
  Connection->Deadline = Now + Options.StatusTimeout;
  send(*Connection, Request, Now);
}

void backend_pool::send(backend_connection &Connection,
                        const backend_request &Request, base::time_point Now) {
  Connection.Outstanding.push_back({Request.Verb, Now});
  ++Requests.at(static_cast<std::size_t>(Request.Verb));
  Port.send(Connection.Number, Request);
}

backend_connection *backend_pool::find(backend_number Number) {
  auto Entry = Connections.find(Number);
  return Entry == Connections.end() ? nullptr : &Entry->second;
}

void backend_pool::noteLimitReached(const base::instance_id &Instance,
                                    base::time_point Now) {
  auto Entry = Instances.find(Instance);
  if (Entry != Instances.end())
    Entry->second.LimitedUntil = Now + LimitPause;
}

std::vector<backend_number> backend_pool::overdue(base::time_point Now) const {
  std::vector<backend_number> Result;
  for (const auto &[Number, Connection] : Connections)
    if (Now >= Connection.Deadline)
      Result.push_back(Number);
  return Result;
}

base::time_point backend_pool::nextDeadline() const {
  base::time_point Next = base::time_point::max();
  for (const auto &[Number, Connection] : Connections)
    Next = std::min(Next, Connection.Deadline);
  return Next;
}

void backend_pool::trim(base::time_point Now) {
  Latest = Now;
  for (auto &[Instance, State] : Instances) {
    auto Limit = Limits.find(State.Listing.Group);
    bool AreKept = Limit == Limits.end() || Limit->second.AreKept;
    if (!AreKept) {
      trimUnkept(State, Now);
      continue;
    }
    while (State.Connections.size() > softLimit(State.Listing.Group)) {
      backend_connection *Idle = oldestIdle(State);
      if (!Idle || Now < Idle->IdleSince + IdleAbovePart)
        break;
      discard(Idle->Number);
    }
  }
}

void backend_pool::trimUnkept(const instance_state &State,
                              base::time_point Now) {
  std::vector<backend_number> Unused;
  for (backend_number Number : State.Connections) {
    const backend_connection &Connection = Connections.at(Number);
    base::duration Lifetime =
        Connection.WasControl ? IdleControl : IdleWithoutPart;
    if (Connection.Use == connection_use::Idle &&
        Now >= Connection.IdleSince + Lifetime)
      Unused.push_back(Number);
  }
  for (backend_number Number : Unused)
    discard(Number);
}

base::json backend_pool::dump() const {
  base::json Result = base::json::object();
  for (const auto &[Instance, State] : Instances)
    Result[Instance.str()] = {{"connections", State.Connections.size()},
                              {"busy", busy(Instance)},
                              {"part", softLimit(State.Listing.Group)}};
  return Result;
}

} // namespace radishrelay::sessions::detail
