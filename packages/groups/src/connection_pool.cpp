#include "radishrelay/groups/connection_pool.h"

#include "radishrelay/groups/request_statements.h"

#include <algorithm>
#include <array>

namespace radishrelay::groups {

namespace {

/// Maximum exponent of the back-off after failed attempts to open a connection.
constexpr std::uint32_t MaxDoublings = 10;

std::vector<sql_statement> resetStatements(connection_release_state End) {
  std::vector<sql_statement> Statements;
  if (End == connection_release_state::InTransaction)
    Statements.push_back(request_statements::rollback());
  Statements.push_back({"DISCARD ALL", {}});
  return Statements;
}

} // namespace

connection_pool::connection_pool(connection_pool_options Options)
    : Options(Options), Random(Options.Seed), NextNumber(Options.FirstNumber) {}

std::optional<connection_number> connection_pool::acquire() {
  if (IsLeaving)
    return std::nullopt;
  auto Best = Connections.end();
  for (auto Entry = Connections.begin(); Entry != Connections.end(); ++Entry) {
    const pooled_connection &Item = Entry->second;
    if (Item.IsControl || Item.State != state::Idle)
      continue;
    // Reusing the most recent connection lets the others reach IdleLifetime.
    if (Best == Connections.end() || Item.ChangedAt >= Best->second.ChangedAt)
      Best = Entry;
  }
  if (Best == Connections.end())
    return std::nullopt;
  Best->second.State = state::Busy;
  return Best->first;
}

std::optional<connection_number> connection_pool::control() const {
  for (const auto &[Number, Item] : Connections) {
    if (servesProbes(Item) && Item.State == state::Idle)
      return Number;
  }
  return std::nullopt;
}

pool_actions connection_pool::setDemand(std::size_t Waiting,
                                        base::time_point Now) {
  Demand = Waiting;
  return tick(Now);
}

pool_actions connection_pool::release(connection_number Connection,
                                      connection_release_state End,
                                      base::time_point Now) {
  pool_actions Actions;
  auto Entry = Connections.find(Connection);
  if (Entry == Connections.end() || Entry->second.State != state::Busy)
    return Actions;
  Entry->second.ChangedAt = Now;
  bool IsOverQuota = Connections.size() > Options.Quota;
  if (End == connection_release_state::Uncertain || IsLeaving || IsOverQuota) {
    close(Connection, Now, Actions);
  } else if (End == connection_release_state::Clean) {
    Entry->second.State = state::Idle;
  } else {
    Entry->second.State = state::Resetting;
    Actions.push_back(reset_pooled_connection{Connection, resetStatements(End),
                                              Now + Options.ResetTimeout});
  }
  return Actions;
}

pool_actions connection_pool::replaceControl(base::time_point Now) {
  pool_actions Actions;
  if (std::optional<connection_number> Number = control())
    close(*Number, Now, Actions);
  return Actions;
}

pool_actions connection_pool::opened(connection_number Connection,
                                     base::time_point Now) {
  pool_actions Actions;
  auto Entry = Connections.find(Connection);
  if (Entry == Connections.end() || Entry->second.State != state::Opening)
    return Actions;
  FailureCount = 0;
  Entry->second.State = state::Idle;
  Entry->second.ChangedAt = Now;
  if (IsLeaving && !Entry->second.IsControl)
    close(Connection, Now, Actions);
  return Actions;
}

pool_actions connection_pool::closed(connection_number Connection,
                                     base::time_point Now) {
  auto Entry = Connections.find(Connection);
  if (Entry == Connections.end())
    return {};
  if (Entry->second.State == state::Opening) {
    ++FailureCount;
    delayOpening(Now);
  }
  Connections.erase(Entry);
  return tick(Now);
}

pool_actions connection_pool::resetEnded(connection_number Connection,
                                         bool IsClean, base::time_point Now) {
  pool_actions Actions;
  auto Entry = Connections.find(Connection);
  if (Entry == Connections.end() || Entry->second.State != state::Resetting)
    return Actions;
  Entry->second.State = state::Idle;
  Entry->second.ChangedAt = Now;
  if (!IsClean || IsLeaving)
    close(Connection, Now, Actions);
  return Actions;
}

pool_actions connection_pool::setLeaving(bool Leaving, base::time_point Now) {
  IsLeaving = Leaving;
  return tick(Now);
}

pool_actions connection_pool::setQuota(std::uint32_t Quota,
                                       base::time_point Now) {
  Options.Quota = Quota;
  return tick(Now);
}

pool_actions connection_pool::tick(base::time_point Now) {
  pool_actions Actions;
  closeIdle(Now, Actions);
  openMissing(Now, Actions);
  return Actions;
}

std::optional<base::time_point> connection_pool::nextDeadline() const {
  std::optional<base::time_point> Next;
  if (needsControlConnection() || needsWorkConnection())
    Next = NextOpenAt;
  for (const auto &[Number, Item] : Connections) {
    if (servesProbes(Item) || Item.State != state::Idle)
      continue;
    base::time_point CloseAt = Item.ChangedAt + Options.IdleLifetime;
    Next = std::min(Next.value_or(CloseAt), CloseAt);
  }
  return Next;
}

bool connection_pool::servesProbes(const pooled_connection &Item) const {
  return Item.IsControl || Options.Quota == 1;
}

std::size_t connection_pool::count(state State) const {
  auto Matches = [&](const auto &Entry) {
    return !Entry.second.IsControl && Entry.second.State == State;
  };
  return static_cast<std::size_t>(
      std::count_if(Connections.begin(), Connections.end(), Matches));
}

bool connection_pool::hasControlConnection() const {
  return std::any_of(
      Connections.begin(), Connections.end(), [](const auto &Entry) {
        return Entry.second.IsControl && Entry.second.State != state::Closing;
      });
}

bool connection_pool::needsControlConnection() const {
  bool HasRoom = Connections.size() < Options.Quota;
  if (Options.Quota == 1)
    return HasRoom;
  return HasRoom && !hasControlConnection();
}

bool connection_pool::needsWorkConnection() const {
  if (IsLeaving || Options.Quota < 2)
    return false;
  std::size_t Reserved = hasControlConnection() ? 0 : 1;
  std::size_t AvailableSoon =
      count(state::Opening) + count(state::Idle) + count(state::Resetting);
  return Connections.size() + Reserved < Options.Quota &&
         AvailableSoon < Demand;
}

void connection_pool::openMissing(base::time_point Now, pool_actions &Actions) {
  if (Now < NextOpenAt)
    return;
  if (needsControlConnection())
    open(Options.Quota > 1, Now, Actions);
  else if (needsWorkConnection())
    open(false, Now, Actions);
}

void connection_pool::open(bool IsControl, base::time_point Now,
                           pool_actions &Actions) {
  connection_number Number = NextNumber++;
  Connections[Number] = {state::Opening, IsControl, Now};
  NextOpenAt = Now + Options.OpenInterval;
  Actions.push_back(open_pooled_connection{Number, Now + Options.OpenTimeout});
}

void connection_pool::close(connection_number Connection, base::time_point Now,
                            pool_actions &Actions) {
  pooled_connection &Item = Connections.at(Connection);
  Item.State = state::Closing;
  Item.ChangedAt = Now;
  Actions.push_back(close_pooled_connection{Connection});
}

void connection_pool::closeIdle(base::time_point Now, pool_actions &Actions) {
  std::size_t Closing = 0;
  for (auto &[Number, Item] : Connections) {
    bool IsOverQuota = Connections.size() - Closing > Options.Quota;
    if (Item.State != state::Idle || (servesProbes(Item) && !IsOverQuota))
      continue;
    if (Item.IsControl && Options.Quota > 0)
      continue;
    bool IsOld = Now >= Item.ChangedAt + Options.IdleLifetime;
    if (!IsOld && !IsLeaving && !IsOverQuota)
      continue;
    close(Number, Now, Actions);
    ++Closing;
  }
}

void connection_pool::delayOpening(base::time_point Now) {
  std::uint32_t Doublings = std::min(FailureCount, MaxDoublings);
  base::duration Pause = std::min<base::duration>(
      Options.OpenInterval * (1LL << Doublings), Options.MaxOpenPause);
  auto JitterUs = static_cast<std::int64_t>(
      Random.below(static_cast<std::uint64_t>(Pause.count())));
  NextOpenAt = std::max(NextOpenAt, Now + base::duration(JitterUs));
}

base::json connection_pool::dump() const {
  constexpr std::array<const char *, 5> Names{"opening", "idle", "busy",
                                              "resetting", "closing"};
  base::json Dump = base::json::object();
  Dump["quota"] = Options.Quota;
  Dump["size"] = Connections.size();
  Dump["demand"] = Demand;
  Dump["leaving"] = IsLeaving;
  Dump["open_failures"] = FailureCount;
  Dump["connections"] = base::json::object();
  for (const auto &[Number, Item] : Connections)
    Dump["connections"][std::to_string(Number)] = {
        {"state", Names.at(static_cast<std::size_t>(Item.State))},
        {"control", Item.IsControl}};
  return Dump;
}

} // namespace radishrelay::groups
