#include "radishrelay/sessions/detail/backend_pool.h"

#include <algorithm>
#include <utility>

namespace radishrelay::sessions::detail {

namespace {

/// Minimum number of connections that each host may open, so that it can use
/// each instance and request its status. With so many hosts that these
/// connections exceed the limit, idle connections are closed soon instead of
/// being kept.
constexpr std::size_t MinShare = 2;
/// Idle lifetime if idle connections are not kept. Long enough for a client
/// that has received an answer to send its next statement.
constexpr base::duration IdleLifetimeWithoutShare =
    std::chrono::milliseconds(50);
/// Idle lifetime after a control call if idle connections are not kept. Covers
/// the time until the next status call of a host that probes.
constexpr base::duration IdleControlLifetime = std::chrono::milliseconds(650);
constexpr std::size_t ShareWithoutLimit = 16;
/// Connections above this host's share while the instance accepts them. Load
/// differs between hosts, and few hosts need extra connections at a time.
constexpr std::size_t ExtraConnections = 1;
/// Time without connections above this host's share after an instance has
/// rejected a connection.
constexpr base::duration LimitBackoff = std::chrono::seconds(2);
/// Idle lifetime of a connection above this host's share.
constexpr base::duration IdleLifetimeAboveShare =
    std::chrono::milliseconds(500);
/// Timeout of the rollback of an abandoned transaction. Exceeds the duration of
/// any statement that may still run before it.
constexpr base::duration RollbackTimeout = std::chrono::milliseconds(2000);

} // namespace

backend_pool::backend_pool(const engine_options &Options, backend_port &Port,
                           answer_doubts &Doubts)
    : Options(Options), Port(Port), Doubts(Doubts) {}

void backend_pool::setInstances(
    const std::map<base::instance_id, instance_listing> &List,
    base::time_point Now) {
  LatestTime = Now;
  for (const auto &[Instance, Listing] : List) {
    instance_state &State = Instances[Instance];
    bool IsNewProcess = !State.Listing.Address.empty() &&
                        (State.Listing.Address != Listing.Address ||
                         State.Listing.StartedAt != Listing.StartedAt);
    State.Listing = Listing;
    // Idle connections to an earlier process of the instance are unusable.
    if (IsNewProcess)
      discardIdle(State);
  }
  std::erase_if(Instances, [&](const auto &Entry) {
    return !List.contains(Entry.first) && Entry.second.Connections.empty();
  });
}

void backend_pool::discardIdle(const instance_state &State) {
  std::vector<backend_number> Numbers(State.Connections.begin(),
                                      State.Connections.end());
  for (backend_number Number : Numbers)
    if (Connections.at(Number).Use == connection_use::Idle)
      discard(Number);
}

void backend_pool::setClosedDomains(std::set<base::failure_domain_id> Domains) {
  ClosedDomains = std::move(Domains);
  for (const auto &[Instance, State] : Instances)
    if (ClosedDomains.contains(State.Listing.Domain))
      discardIdle(State);
}

bool backend_pool::isClosed(const base::instance_id &Instance) const {
  auto Entry = Instances.find(Instance);
  return Entry == Instances.end() ||
         ClosedDomains.contains(Entry->second.Listing.Domain);
}

void backend_pool::setLimit(const base::group_id &Group, std::int64_t Limit,
                            std::size_t Hosts) {
  double Usable =
      static_cast<double>(Limit) * (1.0 - Options.ConnectionReserve);
  double Share = Usable / static_cast<double>(std::max<std::size_t>(1, Hosts));
  auto RoundedShare = static_cast<std::size_t>(Share);
  Limits[Group] = {std::max(MinShare, RoundedShare), RoundedShare >= MinShare};
}

std::size_t backend_pool::softLimit(const base::group_id &Group) const {
  auto Entry = Limits.find(Group);
  return Entry == Limits.end() ? ShareWithoutLimit : Entry->second.Share;
}

std::size_t backend_pool::hardLimit(const instance_state &State) const {
  std::size_t Share = softLimit(State.Listing.Group);
  return LatestTime < State.LimitedUntil ? Share : Share + ExtraConnections;
}

backend_connection *backend_pool::findIdle(const instance_state &State,
                                           const connection_need &Need) {
  backend_connection *Best = nullptr;
  std::pair<bool, bool> BestRank;
  for (backend_number Number : State.Connections) {
    backend_connection &Connection = Connections.at(Number);
    bool IsAvoided = Need.IsAvoided && (Connection.Answers.*Need.IsAvoided)();
    if (Connection.Use != connection_use::Idle ||
        Connection.Account != Need.Account || (IsAvoided && Need.OpensRather))
      continue;
    std::pair Rank{!IsAvoided, Connection.Values == Need.Values};
    if (!Best || Rank > BestRank) {
      Best = &Connection;
      BestRank = Rank;
    }
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

connection_availability
backend_pool::availability(const base::instance_id &Instance,
                           const base::account_id &Account) const {
  auto Entry = Instances.find(Instance);
  if (Entry == Instances.end())
    return connection_availability::Full;
  const instance_state &State = Entry->second;
  bool HasIdle = false;
  for (backend_number Number : State.Connections) {
    const backend_connection &Connection = Connections.at(Number);
    if (Connection.Use != connection_use::Idle)
      continue;
    if (Connection.Account == Account)
      return connection_availability::Idle;
    HasIdle = true;
  }
  bool HasRoom = HasIdle || State.Connections.size() < hardLimit(State);
  return HasRoom ? connection_availability::CanOpen
                 : connection_availability::Full;
}

bool backend_pool::hasConnectionFor(const base::instance_id &Instance,
                                    const base::account_id &Account) const {
  auto Entry = Instances.find(Instance);
  if (Entry == Instances.end())
    return false;
  const instance_state &State = Entry->second;
  return State.Connections.size() < softLimit(State.Listing.Group) ||
         availability(Instance, Account) == connection_availability::Idle;
}

std::size_t backend_pool::busyCount(const base::instance_id &Instance) const {
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

bool backend_pool::ensureCapacity(instance_state &State, base::time_point Now) {
  std::size_t Count = State.Connections.size();
  if (Count < softLimit(State.Listing.Group))
    return true;
  backend_connection *Oldest = oldestIdle(State);
  bool IsAtLimit = Count >= hardLimit(State);
  // Opening a connection costs the instance as much as a statement, so below
  // the hard limit a recently used connection is kept.
  bool IsReplaceable =
      Oldest &&
      (IsAtLimit || Now >= Oldest->IdleSince + IdleLifetimeAboveShare);
  if (IsReplaceable)
    discard(Oldest->Number);
  return IsReplaceable || !IsAtLimit;
}

backend_connection *backend_pool::acquire(const base::instance_id &Instance,
                                          const connection_need &Need,
                                          base::time_point Now) {
  LatestTime = Now;
  auto Entry = Instances.find(Instance);
  if (Entry == Instances.end())
    return nullptr;
  instance_state &State = Entry->second;
  while (backend_connection *Idle = findIdle(State, Need)) {
    if (discardEarly(*Idle))
      continue;
    Idle->Use = connection_use::Session;
    Idle->Session = Need.Session;
    return Idle;
  }
  if (!ensureCapacity(State, Now))
    return nullptr;
  backend_connection &Opened = open(State, Need.Account, Now);
  Opened.Session = Need.Session;
  return &Opened;
}

void backend_pool::release(backend_connection &Connection,
                           base::time_point Now) {
  Connection.LastUseWasControl = Connection.Use == connection_use::Control;
  Connection.Use = connection_use::Idle;
  Connection.Session.reset();
  Connection.IdleSince = Now;
  Connection.Deadline = base::time_point::max();
  if (isClosed(Connection.Instance) || !Connection.Answers.isReusable())
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

void backend_pool::rollBackAndRelease(backend_connection &Connection,
                                      base::time_point Now) {
  Connection.Session.reset();
  if (discardEarly(Connection))
    return;
  if (isClosed(Connection.Instance) || !Connection.Answers.isReusable()) {
    // Closing the connection rolls the transaction back.
    discard(Connection.Number);
    return;
  }
  Connection.Use = connection_use::RollingBack;
  Connection.Deadline = Now + RollbackTimeout;
  backend_request Rollback;
  Rollback.Verb = backend_verb::Rollback;
  send(Connection, Rollback, Now);
}

bool backend_pool::call(const base::instance_id &Instance,
                        const base::account_id &Account,
                        const backend_request &Request, base::time_point Now) {
  auto Entry = Instances.find(Instance);
  if (Entry == Instances.end())
    return false;
  backend_connection *Connection = oldestIdle(Entry->second);
  while (Connection && discardEarly(*Connection))
    Connection = oldestIdle(Entry->second);
  // A status call does not exceed the connection limit: on a busy instance,
  // acknowledged commits prove the primary as well. The calls of a promotion
  // may exceed it.
  bool IsStatus = Request.Verb == backend_verb::Status;
  bool IsFull = Entry->second.Connections.size() >= hardLimit(Entry->second);
  if (!Connection && IsStatus && IsFull)
    return false;
  if (!Connection) {
    backend_connection &Opened = open(Entry->second, Account, Now);
    Opened.PendingCall = Request;
    return true;
  }
  Connection->Use = connection_use::Control;
  Connection->Deadline = Now + Options.StatusTimeout;
  send(*Connection, Request, Now);
  return true;
}

bool backend_pool::isAnswerAwaited(const base::instance_id &Instance) const {
  auto Entry = Instances.find(Instance);
  return Entry != Instances.end() &&
         std::ranges::any_of(
             Entry->second.Connections, [this](backend_number Number) {
               const backend_connection &Connection = Connections.at(Number);
               return Connection.Use == connection_use::Opening ||
                      !Connection.Outstanding.empty();
             });
}

void backend_pool::callAnew(const base::instance_id &Instance,
                            const base::account_id &Account,
                            const backend_request &Request,
                            base::time_point Now) {
  auto Entry = Instances.find(Instance);
  if (Entry == Instances.end() ||
      Entry->second.Connections.size() >= hardLimit(Entry->second))
    return;
  open(Entry->second, Account, Now).PendingCall = Request;
}

void backend_pool::send(backend_connection &Connection,
                        const backend_request &Request, base::time_point Now) {
  Connection.Outstanding.push_back(
      {Request.Verb, Request.EndsTransaction, Now});
  ++Requests.at(static_cast<std::size_t>(Request.Verb));
  Port.send(Connection.Number, Request);
}

bool backend_pool::hasEarlyInput(const backend_connection &Connection) const {
  return Connection.Outstanding.empty() &&
         Port.hasUnreadInput(Connection.Number);
}

bool backend_pool::discardEarly(const backend_connection &Connection) {
  if (!hasEarlyInput(Connection))
    return false;
  Doubts.record(Connection, answer_doubt::Early, nullptr);
  discard(Connection.Number);
  return true;
}

backend_connection *backend_pool::find(backend_number Number) {
  auto Entry = Connections.find(Number);
  return Entry == Connections.end() ? nullptr : &Entry->second;
}

void backend_pool::recordLimitReached(const base::instance_id &Instance,
                                      base::time_point Now) {
  auto Entry = Instances.find(Instance);
  if (Entry != Instances.end())
    Entry->second.LimitedUntil = Now + LimitBackoff;
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
  LatestTime = Now;
  for (auto &[Instance, State] : Instances) {
    auto Limit = Limits.find(State.Listing.Group);
    bool KeepsIdle = Limit == Limits.end() || Limit->second.KeepsIdle;
    if (!KeepsIdle) {
      closeExpiredIdle(State, Now);
      continue;
    }
    while (State.Connections.size() > softLimit(State.Listing.Group)) {
      backend_connection *Idle = oldestIdle(State);
      if (!Idle || Now < Idle->IdleSince + IdleLifetimeAboveShare)
        break;
      discard(Idle->Number);
    }
  }
}

void backend_pool::closeExpiredIdle(const instance_state &State,
                                    base::time_point Now) {
  std::vector<backend_number> Unused;
  for (backend_number Number : State.Connections) {
    const backend_connection &Connection = Connections.at(Number);
    base::duration Lifetime = Connection.LastUseWasControl
                                  ? IdleControlLifetime
                                  : IdleLifetimeWithoutShare;
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
                              {"busy", busyCount(Instance)},
                              {"part", softLimit(State.Listing.Group)}};
  return Result;
}

} // namespace radishrelay::sessions::detail
