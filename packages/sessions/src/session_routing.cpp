// Choice of the instance and connection for a statement, and the waits for
// them.
#include "radishrelay/sessions/session_engine.h"

#include <algorithm>

namespace radishrelay::sessions {

namespace {

// The costs of running a read on an instance, as the latency that is accepted
// to avoid them.

/// Cost of a read in another failure domain: traffic between domains is
/// expensive.
constexpr std::int64_t OtherDomainCostMicroseconds = 25'000;
/// Cost of opening a connection: work on the instance and round trips.
constexpr std::int64_t OpenCostMicroseconds = 14'000;
/// Cost of a read on the primary, which also serves all writes.
constexpr std::int64_t PrimaryCostMicroseconds = 15'000;
/// Cost of a read on a replica that is not known to have reached the requested
/// position.
constexpr std::int64_t UnknownPositionCostMicroseconds = 3'000;
/// Assumed duration of a read on an instance without completed reads.
constexpr double InitialReadMicroseconds = 20'000;
/// A statement waits for a token of the account's rate limit for at most the
/// latency target divided by this number.
constexpr int TokenWaitDivisor = 4;
/// Lower bound of the wait for a token, so that a loan of tokens from another
/// host can arrive.
constexpr base::duration MinTokenWait = std::chrono::milliseconds(25);
/// A waiting operation may replace connections of other accounts after this
/// time.
constexpr base::duration OtherAccountDelay = std::chrono::milliseconds(40);
/// Interval at which a waiting operation is checked again.
constexpr base::duration RecheckInterval = std::chrono::milliseconds(20);
/// Share of the statement timeout after which an unanswered read is sent to
/// another instance.
constexpr int ReadAttemptShareNumerator = 3;
constexpr int ReadAttemptShareDenominator = 5;

/// What a client is told whose statement only an instance in an evacuated
/// failure domain can run.
constexpr const char *EvacuatedText =
    "the failure domain of the instance is evacuated";

} // namespace

void session_engine::advanceOperation(session &Session, base::time_point Now) {
  if (Session.Current->Stage == stage::AwaitingToken)
    takeToken(Session, Now);
  else if (Session.Current->Stage == stage::AwaitingInstance)
    chooseInstance(Session, Now);
  else if (Session.Current->Stage == stage::AwaitingPermit)
    permitDue(Session, Now);
}

void session_engine::takeToken(session &Session, base::time_point Now) {
  operation &Operation = *Session.Current;
  if (!Operation.NeedsToken || Limits.admit(Session.Account, Now)) {
    Operation.NeedsToken = false;
    Operation.Stage = stage::AwaitingInstance;
    bool IsBegin = Operation.Statement.Kind == statement_kind::Begin ||
                   Operation.Statement.Kind == statement_kind::BeginReadOnly;
    if (IsBegin)
      begin(Session, Now);
    else
      chooseInstance(Session, Now);
    return;
  }
  base::time_point Limit =
      Operation.ReceivedAt +
      std::max(MinTokenWait, Session.Route.TargetLatency / TokenWaitDivisor);
  base::time_point Next = Limits.nextTokenAt(Session.Account);
  bool IsExhausted = Limits.isExhausted(Session.Account, Operation.ReceivedAt);
  if (!IsExhausted && Now < Limit) {
    Limits.borrow(Session.Account, countAwaitingToken(Session.Account), Now);
    IsExhausted = Limits.isExhausted(Session.Account, Operation.ReceivedAt);
  }
  if (Now >= Limit || (IsExhausted && Next > Limit)) {
    ++Counters.RateExceeded;
    answerError(Session, refusal::TooMany,
                "the rate of the client account is exceeded", Now);
    return;
  }
  constexpr base::duration MinWakeDelay = std::chrono::milliseconds(1);
  setWake(Session, std::max(std::min(Next, Limit), Now + MinWakeDelay));
}

std::int64_t
session_engine::countAwaitingToken(const base::account_id &Account) const {
  return std::ranges::count_if(Sessions, [&](const auto &Entry) {
    const session &Session = Entry.second;
    return Session.Current && Session.Current->Stage == stage::AwaitingToken &&
           Session.Account == Account;
  });
}

bool session_engine::needsPrimary(const session &Session) const {
  const operation &Operation = *Session.Current;
  if (Session.Route.Consistency == read_consistency::Primary ||
      Operation.IsWrite)
    return true;
  bool IsInTransaction = Session.Phase == session_phase::InTransaction;
  return IsInTransaction && !Session.Transaction.IsReadOnly;
}

std::optional<groups::log_position>
session_engine::neededPosition(const session &Session,
                               const supervisor &Group) const {
  bool IsInTransaction = Session.Phase == session_phase::InTransaction;
  base::time_point StartedAt = IsInTransaction ? Session.Transaction.StartedAt
                                               : Session.Current->ReceivedAt;
  std::optional<groups::log_position> Position =
      Group.leadership().positionSince(StartedAt - Session.Route.MaxStaleness);
  bool HasOwnCommit =
      Session.LastCommit && Session.CommitGroup == Session.Route.Group &&
      Session.Route.Consistency == read_consistency::ReadYourWrites;
  if (Position && HasOwnCommit)
    Position = std::max(*Position, *Session.LastCommit);
  return Position;
}

void session_engine::chooseInstance(session &Session, base::time_point Now) {
  operation &Operation = *Session.Current;
  Operation.Stage = stage::AwaitingInstance;
  if (Session.Transaction.Connection) {
    connection *Connection = Pool.find(*Session.Transaction.Connection);
    if (!Connection)
      answerError(Session, refusal::Aborted,
                  "the connection of the transaction was lost", Now);
    else if (isClosed(Connection->Instance))
      answerError(Session, refusal::Aborted, EvacuatedText, Now);
    else if (!closeEarly(*Connection, Now))
      prepareConnection(Session, *Connection, Now);
    return;
  }
  if (Now < Operation.NotBefore) {
    setWake(Session, Operation.NotBefore);
    return;
  }
  if (needsPrimary(Session) || !chooseReplica(Session, Now))
    choosePrimary(Session, Now);
}

base::time_point session_engine::waitDeadline(const session &Session,
                                              const supervisor &Group,
                                              base::time_point Now) const {
  const operation &Operation = *Session.Current;
  base::time_point Limit =
      Operation.ReceivedAt +
      std::min(Session.Route.TargetLatency, Session.Route.StatementTimeout);
  if (!Group.isPrimaryLost() || Group.usablePrimary(Now))
    return Limit;
  // Without an ordered promotion, no primary is expected within the statement
  // timeout.
  return Group.isPromotionOrdered()
             ? Operation.ReceivedAt + Options.PromotionTimeout
             : Now;
}

void session_engine::abandonWait(session &Session, const std::string &Reason,
                                 base::time_point Now) {
  answerError(Session, Session.Current->LastRefusal.value_or(refusal::Busy),
              Reason, Now);
}

bool session_engine::isAtHome(const instance_view &View,
                              const session &Session) const {
  if (!Session.Homes)
    return true;
  auto Region = Options.Regions.find(View.Listing.Domain);
  return Region != Options.Regions.end() &&
         Session.Homes->contains(Region->second);
}

bool session_engine::isClosed(const base::instance_id &Instance) const {
  auto View = Instances.find(Instance);
  return View != Instances.end() &&
         Evacuations.isClosed(View->second.Listing.Domain);
}

std::string_view session_engine::hopelessReason(const session &Session,
                                                const supervisor &Group) {
  const std::optional<base::instance_id> &Primary =
      Group.leadership().primary();
  auto View = Primary ? Instances.find(*Primary) : Instances.end();
  if (View == Instances.end())
    return {};
  // A read may still find a position that a replica at home has reached.
  bool MayRunAtHome =
      needsPrimary(Session)
          ? isAtHome(View->second, Session)
          : std::ranges::any_of(Instances, [&](const auto &Entry) {
              const instance_view &Other = Entry.second;
              return Other.Listing.Group == Session.Route.Group &&
                     !Evacuations.isEvacuated(Other.Listing.Domain) &&
                     isAtHome(Other, Session);
            });
  if (Session.Homes && !MayRunAtHome) {
    ++Counters.HomeRefusals;
    return "no instance in a home region can run the statement";
  }
  if (isClosed(*Primary) && !Group.hasSuccessor()) {
    ++Counters.EvacuationRefusals;
    return EvacuatedText;
  }
  return {};
}

void session_engine::choosePrimary(session &Session, base::time_point Now) {
  operation &Operation = *Session.Current;
  supervisor *Group = groupOf(Session.Route.Group);
  if (!Group) {
    answerError(Session, refusal::Busy, "the database group is not known", Now);
    return;
  }
  Group->requestProof(Now);
  std::optional<base::instance_id> Primary = Group->usablePrimary(Now);
  // A write outside a transaction needs no proved primary, since its commit is
  // answered only once the primary is proved. Hosts in the failure domain of
  // the primary wait for a proof first: if the domain is cut off, no commit is
  // proved before that ends.
  bool IsSingleWrite =
      Operation.IsWrite && Session.Phase == session_phase::Idle;
  if (!Primary && IsSingleWrite)
    Primary = Group->primaryForWrites();
  std::string_view Hopeless = hopelessReason(Session, *Group);
  if (!Hopeless.empty()) {
    abandonWait(Session, std::string(Hopeless), Now);
    return;
  }
  auto View = Primary ? Instances.find(*Primary) : Instances.end();
  bool IsUsable =
      View != Instances.end() && !isClosed(*Primary) &&
      isAtHome(View->second, Session) &&
      (!View->second.Listing.Draining || Now < View->second.UsableUntil);
  if (IsUsable && attach(Session, *Primary, Now))
    return;
  base::time_point Limit = waitDeadline(Session, *Group, Now);
  if (Now >= Limit) {
    abandonWait(Session,
                IsUsable ? "all connections to the primary are in use"
                         : "no primary is proved",
                Now);
    return;
  }
  Waiting.emplace(Session.Route.Priority, Operation.ReceivedAt, Session.Number);
  setWake(Session, std::min(Limit, Now + RecheckInterval));
}

std::int64_t session_engine::readCost(const instance_view &View,
                                      const session &Session,
                                      std::optional<groups::log_position> After,
                                      base::time_point Now) const {
  const base::instance_id &Instance = View.Listing.Instance;
  double Read = View.ReadMicroseconds > 0 ? View.ReadMicroseconds
                                          : InitialReadMicroseconds;
  auto Cost = static_cast<std::int64_t>(
      Read * static_cast<double>(1 + Pool.busyCount(Instance)));
  if (View.Listing.Domain != Options.Domain)
    Cost += OtherDomainCostMicroseconds;
  if (Pool.availability(Instance, Session.Account) ==
      detail::connection_availability::CanOpen)
    Cost += OpenCostMicroseconds;
  if (View.Listing.Role == groups::instance_role::Primary)
    Cost += PrimaryCostMicroseconds;
  else if (After && View.KnownPosition < *After)
    Cost += UnknownPositionCostMicroseconds;
  // Soon after a failure, an instance is used only if all others cost more.
  if (Now < View.AvoidUntil)
    Cost += (View.AvoidUntil - Now).count();
  return Cost;
}

bool session_engine::chooseReplica(session &Session, base::time_point Now) {
  operation &Operation = *Session.Current;
  supervisor *Group = groupOf(Session.Route.Group);
  if (!Group)
    return false;
  Group->requestProof(Now);
  std::optional<groups::log_position> After = neededPosition(Session, *Group);
  if (!After)
    return false;
  std::optional<base::instance_id> Primary = Group->usablePrimary(Now);
  const instance_view *Best = nullptr;
  std::int64_t BestCost = 0;
  bool IsAnyFull = false;
  for (const auto &[Instance, View] : Instances) {
    bool IsLagging = View.KnownPosition < *After && Now < View.LaggingUntil;
    bool IsCandidate = View.Listing.Group == Session.Route.Group &&
                       !View.Listing.Draining && !IsLagging &&
                       !Operation.ExcludedInstances.contains(Instance) &&
                       !Evacuations.isEvacuated(View.Listing.Domain) &&
                       isAtHome(View, Session);
    if (!IsCandidate || !hasPermit(Session, View, Now))
      continue;
    if (Pool.availability(Instance, Session.Account) ==
        detail::connection_availability::Full) {
      IsAnyFull = true;
      continue;
    }
    std::int64_t Cost = readCost(View, Session, After, Now);
    if (!Best || Cost < BestCost) {
      Best = &View;
      BestCost = Cost;
    }
  }
  if (Best)
    takePermit(Session, *Best, Now);
  if (Best && attach(Session, Best->Listing.Instance, Now))
    return true;
  base::time_point Limit = Operation.ReceivedAt + Session.Route.TargetLatency;
  if (!IsAnyFull || Now >= Limit)
    return false;
  Waiting.emplace(Session.Route.Priority, Operation.ReceivedAt, Session.Number);
  setWake(Session, std::min(Limit, Now + RecheckInterval));
  return true;
}

bool session_engine::attach(session &Session, const base::instance_id &Instance,
                            base::time_point Now) {
  operation &Operation = *Session.Current;
  detail::connection_need Need{Session.Account, Session.Number, Session.Values};
  if (Session.Phase == session_phase::InTransaction)
    Need.IsAvoided = &detail::answer_check::hasBegunAtPosition;
  else if (Operation.IsWrite)
    Need.IsAvoided = &detail::answer_check::hasErrorAtPosition;
  Need.OpensRather = Operation.Attempts > 0;
  connection *Connection = Pool.acquire(Instance, Need, Now);
  if (!Connection)
    return false;
  Waiting.erase({Session.Route.Priority, Operation.ReceivedAt, Session.Number});
  ++Operation.Attempts;
  if (Session.Phase == session_phase::InTransaction)
    Session.Transaction.Connection = Connection->Number;
  else
    Attached[Session.Number] = Connection->Number;
  if (Connection->Use == detail::connection_use::Opening) {
    Operation.Stage = stage::Opening;
    setWake(Session, Operation.ReceivedAt + Session.Route.StatementTimeout);
  } else {
    prepareConnection(Session, *Connection, Now);
  }
  return true;
}

void session_engine::prepareConnection(session &Session, connection &Connection,
                                       base::time_point Now) {
  operation &Operation = *Session.Current;
  std::vector<backend_request> Requests;
  bool HasForeignValue =
      std::ranges::any_of(Connection.Values, [&](const auto &Value) {
        return !Session.Values.contains(Value.first);
      });
  if (HasForeignValue) {
    backend_request Reset;
    Reset.Verb = backend_verb::Reset;
    Requests.push_back(Reset);
    Connection.Values.clear();
    Connection.Prepared.clear();
  }
  for (const auto &[Name, Value] : Session.Values) {
    auto Known = Connection.Values.find(Name);
    if (Known != Connection.Values.end() && Known->second == Value)
      continue;
    backend_request Set;
    Set.Verb = backend_verb::SetValue;
    Set.Name = Name;
    Set.Text = Value;
    Requests.push_back(Set);
  }
  Connection.Values = Session.Values;
  if (Operation.Statement.Kind == statement_kind::Execute) {
    const detail::prepared_shape &Shape =
        Session.Prepared.at(Operation.Statement.Name);
    std::string &Name =
        Connection.Prepared[(Shape.Writes ? "W" : "R") + Shape.Shape];
    if (Name.empty()) {
      Name = "p" + std::to_string(++Connection.LastPreparedName);
      backend_request Prepare;
      Prepare.Verb = backend_verb::Prepare;
      Prepare.Name = Name;
      Prepare.Text = Shape.Shape;
      Prepare.Writes = Shape.Writes;
      Requests.push_back(Prepare);
    }
  }
  Operation.AwaitedReplies = Requests.size();
  setWake(Session, Operation.ReceivedAt + Session.Route.StatementTimeout);
  if (Requests.empty()) {
    beginOrSend(Session, Connection, Now);
    return;
  }
  Operation.Stage = stage::Preparing;
  for (const backend_request &Request : Requests)
    Pool.send(Connection, Request, Now);
}

void session_engine::beginOrSend(session &Session, connection &Connection,
                                 base::time_point Now) {
  bool IsInTransaction = Session.Phase == session_phase::InTransaction;
  if (!IsInTransaction || Session.Transaction.HasBegun) {
    sendStatement(Session, Connection, Now);
    return;
  }
  // A transaction that has to wait for its first statement holds no slot.
  if (!ensurePermit(Session, Connection, Now))
    return;
  backend_request Begin;
  Begin.Verb = Session.Transaction.IsReadOnly ? backend_verb::BeginReadOnly
                                              : backend_verb::Begin;
  if (!needsPrimary(Session))
    if (supervisor *Group = groupOf(Session.Route.Group))
      Begin.After = neededPosition(Session, *Group);
  Session.Current->Stage = stage::Beginning;
  Pool.send(Connection, Begin, Now);
}

void session_engine::sendStatement(session &Session, connection &Connection,
                                   base::time_point Now) {
  if (!ensurePermit(Session, Connection, Now))
    return;
  operation &Operation = *Session.Current;
  Operation.Permit.reset();
  backend_request Request;
  Request.Id = Operation.Id;
  if (Operation.Statement.Kind == statement_kind::Execute) {
    const detail::prepared_shape &Shape =
        Session.Prepared.at(Operation.Statement.Name);
    Request.Verb = backend_verb::Execute;
    Request.Name =
        Connection.Prepared.at((Shape.Writes ? "W" : "R") + Shape.Shape);
    Request.Text = Operation.Statement.Value;
  } else {
    Request.Verb = backend_verb::Forward;
    Request.Text = Operation.Statement.Text;
    Request.EndsTransaction =
        Operation.Statement.Kind == statement_kind::Commit;
  }
  bool IsSingle = Session.Phase != session_phase::InTransaction;
  if (IsSingle && !needsPrimary(Session))
    if (supervisor *Group = groupOf(Session.Route.Group))
      Request.After = neededPosition(Session, *Group);
  Operation.Stage = stage::Running;
  Operation.SentAt = Now;
  if (auto View = Instances.find(Connection.Instance); View != Instances.end())
    Evacuations.recordStatement(View->second.Listing.Domain, Now);
  base::time_point Deadline =
      Operation.ReceivedAt + Session.Route.StatementTimeout;
  bool CanRepeat = IsSingle && !Operation.IsWrite;
  if (CanRepeat)
    Deadline = std::min(Deadline, Now + Session.Route.StatementTimeout *
                                            ReadAttemptShareNumerator /
                                            ReadAttemptShareDenominator);
  setWake(Session, Deadline);
  Pool.send(Connection, Request, Now);
}

void session_engine::serveWaiting(base::time_point Now) {
  ShouldServeWaiting = false;
  std::vector<session_number> Numbers;
  for (const auto &[Priority, ReceivedAt, Number] : Waiting)
    Numbers.push_back(Number);
  // The first pass serves sessions that need no connection of another account,
  // because replacing a connection costs the instance as much as a statement.
  // The second pass serves all sessions that have waited for OtherAccountDelay.
  for (bool IsOwnAccountOnly : {true, false})
    for (session_number Number : Numbers) {
      auto Entry = Sessions.find(Number);
      if (Entry == Sessions.end() || !Entry->second.Current)
        continue;
      if (Entry->second.Current->Stage == stage::AwaitingProof)
        completeCommit(Entry->second, Now);
      if (!Entry->second.Current ||
          Entry->second.Current->Stage != stage::AwaitingInstance)
        continue;
      bool IsWithinDelay =
          Now < Entry->second.Current->ReceivedAt + OtherAccountDelay;
      if (IsOwnAccountOnly ? !hasConnectionAtPrimary(Entry->second)
                           : IsWithinDelay)
        continue;
      chooseInstance(Entry->second, Now);
    }
}

bool session_engine::hasConnectionAtPrimary(const session &Session) const {
  auto Group = Groups.find(Session.Route.Group);
  if (Group == Groups.end())
    return false;
  const auto &Primary = Group->second->leadership().primary();
  return Primary && Pool.hasConnectionFor(*Primary, Session.Account);
}

} // namespace radishrelay::sessions
