// Handling of failed attempts of a statement: another attempt if the statement
// cannot be applied twice, otherwise an error that states what is known.
#include "radishrelay/sessions/session_engine.h"

namespace radishrelay::sessions {

namespace {

constexpr std::uint32_t MaxAttempts = 5;
/// Time after a lost connection during which reads prefer other instances.
constexpr base::duration LostConnectionPause = std::chrono::milliseconds(1000);

} // namespace

bool session_engine::canRetry(const session &Session, refusal Reason,
                              base::time_point Now) const {
  const operation &Operation = *Session.Current;
  bool IsInTransaction = Session.Phase == session_phase::InTransaction;
  if (IsInTransaction && Session.Transaction.HasRun)
    return false;
  bool IsCommit = Operation.Statement.Kind == statement_kind::Commit;
  bool IsSafe = guaranteesNoEffect(Reason) || (!Operation.IsWrite && !IsCommit);
  bool IsInTime = Now < Operation.ReceivedAt + Session.Route.StatementTimeout;
  return IsSafe && IsInTime && Operation.Attempts < MaxAttempts;
}

void session_engine::retry(session &Session, connection *Connection,
                           refusal Reason, session_phase BackendPhase,
                           base::time_point Now) {
  operation &Operation = *Session.Current;
  ++Counters.StatementRetries;
  if (Connection) {
    if (!needsPrimary(Session))
      Operation.ExcludedInstances.insert(Connection->Instance);
    returnToPool(*Connection, BackendPhase, Now);
  }
  if (Reason == refusal::Busy || Reason == refusal::TooMany ||
      Reason == refusal::ReadOnly)
    Operation.NotBefore = Now + Options.BusyRetryDelay;
  Operation.LastRefusal = guaranteesNoEffect(Reason)
                              ? std::optional<refusal>(Reason)
                              : std::nullopt;
  detach(Session);
  Session.Transaction.Connection.reset();
  Session.Transaction.HasBegun = false;
  chooseInstance(Session, Now);
}

void session_engine::connectionLost(session &Session,
                                    const base::instance_id &Instance,
                                    std::optional<refusal> Reason,
                                    base::time_point Now) {
  if (Session.Current) {
    auto View = Instances.find(Instance);
    if (!Reason && View != Instances.end())
      View->second.AvoidUntil = Now + LostConnectionPause;
    if (!needsPrimary(Session))
      Session.Current->ExcludedInstances.insert(Instance);
  }
  attemptLost(Session, Reason.value_or(refusal::Busy),
              "the connection to the instance was lost", Now);
}

void session_engine::attemptLost(session &Session, refusal Reason,
                                 const std::string &Text,
                                 base::time_point Now) {
  bool IsInTransaction = Session.Phase == session_phase::InTransaction;
  if (!Session.Current) {
    if (IsInTransaction) {
      Session.Transaction.Connection.reset();
      Session.Transaction.HasBegun = false;
      Session.Transaction.EndReason = Text;
    }
    return;
  }
  if (mayCommit(Session)) {
    answerError(Session, refusal::InDoubt, Text + " while the commit ran", Now);
    return;
  }
  if (canRetry(Session, refusal::Busy, Now)) {
    retry(Session, nullptr, Reason, session_phase::Idle, Now);
    return;
  }
  answerError(Session, IsInTransaction ? refusal::Aborted : refusal::Busy, Text,
              Now);
}

void session_engine::operationDue(session &Session, base::time_point Now) {
  operation &Operation = *Session.Current;
  switch (Operation.Stage) {
  case stage::AwaitingToken:
  case stage::AwaitingInstance:
  case stage::AwaitingPermit:
    advanceOperation(Session, Now);
    return;
  case stage::Opening:
    if (connection *Connection = connectionOf(Session))
      Connection->Session.reset();
    detach(Session);
    Session.Transaction.Connection.reset();
    answerError(Session, refusal::Busy,
                "no connection to the instance was open in time", Now);
    return;
  case stage::AwaitingProof:
    completeCommit(Session, Now);
    return;
  default:
    statementTimedOut(Session, Now);
  }
}

bool session_engine::mayCommit(const session &Session) const {
  const operation &Operation = *Session.Current;
  return Operation.Stage == stage::Running &&
         (Operation.Statement.Kind == statement_kind::Commit ||
          (Operation.IsWrite && Session.Phase != session_phase::InTransaction));
}

void session_engine::statementTimedOut(session &Session, base::time_point Now) {
  operation &Operation = *Session.Current;
  connection *Connection = connectionOf(Session);
  base::instance_id Instance =
      Connection ? Connection->Instance : base::instance_id();
  supervisor *Group = groupOf(Session.Route.Group);
  bool IsInTransaction = Session.Phase == session_phase::InTransaction;
  bool MayHaveCommitted = mayCommit(Session);
  bool IsTimeOver =
      Now >= Operation.ReceivedAt + Session.Route.StatementTimeout;
  if (Group && MayHaveCommitted && IsTimeOver)
    Group->recordWriteTimeout(Instance);
  if (Group)
    Group->recordFailure(Instance, Now);
  if (Connection)
    Pool.discard(Connection->Number);
  ShouldServeWaiting = true;
  Session.Transaction.Connection.reset();
  Session.Transaction.HasBegun = false;
  if (MayHaveCommitted) {
    answerError(Session, refusal::InDoubt,
                "the instance did not answer the commit in time", Now);
    return;
  }
  Operation.ExcludedInstances.insert(Instance);
  if (canRetry(Session, refusal::Busy, Now)) {
    retry(Session, nullptr, refusal::Timeout, session_phase::Idle, Now);
    return;
  }
  answerError(Session, IsInTransaction ? refusal::Aborted : refusal::Timeout,
              "the instance did not answer in time", Now);
}

} // namespace radishrelay::sessions
