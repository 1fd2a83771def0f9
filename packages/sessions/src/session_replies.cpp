// Handling of answers from instances and of lost connections to them.
#include "radishrelay/sessions/session_engine.h"

#include "radishrelay/base/logged_text.h"

#include <algorithm>

namespace radishrelay::sessions {

namespace {

/// Weight of the latest read in the smoothed read duration of an instance.
constexpr double ReadSmoothing = 0.2;
/// A replica that had not reached the requested position gets no further read
/// of such a position during a pause, which doubles with each rejection from
/// the minimum to the maximum.
constexpr base::duration MinLagPause = std::chrono::milliseconds(40);
constexpr base::duration MaxLagPause = std::chrono::milliseconds(640);
/// Time after a misrouted request during which reads prefer other instances.
constexpr base::duration FailurePause = std::chrono::milliseconds(1000);
/// Interval at which a proof is requested for a commit that waits for one.
constexpr base::duration CommitProofInterval = std::chrono::milliseconds(50);

} // namespace

void session_engine::backendOpened(backend_number Number,
                                   base::time_point Now) {
  connection *Connection = Pool.find(Number);
  if (!Connection || Connection->Use != detail::connection_use::Opening)
    return;
  Connection->Deadline = base::time_point::max();
  if (closeEarly(*Connection, Now))
    return;
  if (Connection->PendingCall) {
    backend_request Call = *Connection->PendingCall;
    Connection->PendingCall.reset();
    Connection->Use = detail::connection_use::Control;
    Connection->Deadline = Now + Options.StatusTimeout;
    Pool.send(*Connection, Call, Now);
    return;
  }
  auto Entry = Connection->Session ? Sessions.find(*Connection->Session)
                                   : Sessions.end();
  if (Entry == Sessions.end() || !Entry->second.Current) {
    Pool.release(*Connection, Now);
    ShouldServeWaiting = true;
    return;
  }
  Connection->Use = detail::connection_use::Session;
  prepareConnection(Entry->second, *Connection, Now);
}

void session_engine::backendLost(backend_number Number,
                                 std::optional<refusal> Reason,
                                 base::time_point Now) {
  connection *Connection = Pool.find(Number);
  if (!Connection)
    return;
  base::instance_id Instance = Connection->Instance;
  std::optional<session_number> Owner = Connection->Session;
  bool WasIdle = Connection->Use == detail::connection_use::Idle;
  // An instance at its connection limit may reset a new connection without
  // sending an error.
  bool WasOpening = Connection->Use == detail::connection_use::Opening;
  supervisor *Group = groupOf(Connection->Group);
  Pool.discard(Number);
  ShouldServeWaiting = true;
  if (!WasIdle && Log.wantsDecision(true))
    Log.decision("backend connection lost",
                 {{"instance", Instance.str()},
                  {"opening", WasOpening},
                  {"reason", Reason ? refusalName(*Reason) : "ended"}});
  if (WasOpening && !Reason)
    Pool.recordLimitReached(Instance, Now);
  if (auto View = Instances.find(Instance); !Reason && View != Instances.end())
    suspectRestart(View->second, Now);
  if (Reason)
    recordRefusal(Instance, *Reason, Now);
  else if (Group && !WasIdle)
    Group->recordFailure(Instance, Now);
  // An instance that refuses a connection has answered; one that is full must
  // not be taken for lost.
  if (Reason && Group)
    Group->recordAnswer(Instance, Now);
  auto Entry = Owner ? Sessions.find(*Owner) : Sessions.end();
  if (Entry != Sessions.end())
    connectionLost(Entry->second, Instance, Reason, Now);
}

void session_engine::recordRefusal(const base::instance_id &Instance,
                                   refusal Reason, base::time_point Now) {
  auto View = Instances.find(Instance);
  if (View == Instances.end())
    return;
  supervisor *Group = groupOf(View->second.Listing.Group);
  switch (Reason) {
  case refusal::TooMany:
    Pool.recordLimitReached(Instance, Now);
    break;
  case refusal::Misrouted:
    View->second.AvoidUntil = Now + FailurePause;
    break;
  case refusal::Lagging:
    View->second.LagPause =
        std::clamp(View->second.LagPause * 2, MinLagPause, MaxLagPause);
    View->second.LaggingUntil = Now + View->second.LagPause;
    break;
  case refusal::ReadOnly:
    if (Group) {
      Group->leadership().recordNotPrimary(Instance);
      Group->requestProof(Now);
    }
    break;
  default:
    break;
  }
}

std::optional<answer_doubt>
session_engine::checkAnswer(connection &Connection,
                            const backend_reply &Reply) {
  if (Connection.Outstanding.empty())
    return answer_doubt::Unsolicited;
  if (Reply.IsUnreadable)
    return answer_doubt::Unreadable;
  return Connection.Answers.check(Connection.Outstanding.front(), Reply);
}

bool session_engine::mayCommit(const connection &Connection) const {
  auto Entry =
      Connection.Session ? Sessions.find(*Connection.Session) : Sessions.end();
  return Entry != Sessions.end() && Entry->second.Current &&
         mayCommit(Entry->second);
}

void session_engine::closeInDoubt(const connection &Connection,
                                  base::time_point Now) {
  std::optional<session_number> Owner = Connection.Session;
  Pool.discard(Connection.Number);
  ShouldServeWaiting = true;
  auto Entry = Owner ? Sessions.find(*Owner) : Sessions.end();
  if (Entry != Sessions.end())
    attemptLost(Entry->second, refusal::Other,
                "an answer of the instance is in doubt", Now);
}

bool session_engine::closeEarly(const connection &Connection,
                                base::time_point Now) {
  if (!Pool.hasEarlyInput(Connection))
    return false;
  Doubts.record(Connection, answer_doubt::Early, nullptr);
  closeInDoubt(Connection, Now);
  return true;
}

void session_engine::backendReplied(backend_number Number,
                                    const backend_reply &Reply,
                                    base::time_point Now) {
  connection *Connection = Pool.find(Number);
  if (!Connection)
    return;
  if (std::optional<answer_doubt> Doubt = checkAnswer(*Connection, Reply)) {
    // Later answers on the connection cannot be matched to their requests.
    Doubts.record(*Connection, *Doubt, &Reply);
    if (supervisor *Group = groupOf(Connection->Group))
      Group->recordAnswer(Connection->Instance, Now);
    if (!isAboutError(*Doubt) || mayCommit(*Connection)) {
      closeInDoubt(*Connection, Now);
      return;
    }
    // Without a commit, an error says nothing that could be wrong for long, and
    // ends the use of the connection.
  }
  detail::sent_request Request = Connection->Outstanding.front();
  Connection->Outstanding.pop_front();
  if (Connection->Use == detail::connection_use::Control) {
    controlReplied(*Connection, Request, Reply, Now);
    return;
  }
  if (Connection->Use == detail::connection_use::RollingBack) {
    rollBackReplied(*Connection, Reply, Now);
    return;
  }
  auto Entry = Connection->Session ? Sessions.find(*Connection->Session)
                                   : Sessions.end();
  if (Entry == Sessions.end() || !Entry->second.Current) {
    Pool.discard(Number);
    return;
  }
  sessionReplied(Entry->second, *Connection, Reply, Request.SentAt, Now);
}

void session_engine::rollBackReplied(connection &Connection,
                                     const backend_reply &Reply,
                                     base::time_point Now) {
  // After an error, the connection does not hold what it records: the session
  // may have left while its values were being set.
  bool HasFailed = Reply.Error.has_value();
  if (!HasFailed && !Connection.Outstanding.empty())
    return;
  if (!HasFailed && Reply.Phase == session_phase::Idle)
    Pool.release(Connection, Now);
  else
    Pool.discard(Connection.Number);
  ShouldServeWaiting = true;
}

void session_engine::controlReplied(connection &Connection,
                                    const detail::sent_request &Request,
                                    const backend_reply &Reply,
                                    base::time_point Now) {
  base::instance_id Instance = Connection.Instance;
  base::account_id Account = Connection.Account;
  base::time_point StatusDate = Connection.Answers.statusDate();
  supervisor *Group = groupOf(Connection.Group);
  if (!Reply.Condition && Log.wantsDecision(true))
    Log.decision("call to instance failed",
                 {{"instance", Instance.str()},
                  {"error", refusalName(Reply.Error.value_or(refusal::Other))},
                  {"detail", base::loggedText(Reply.ErrorText)}});
  Pool.release(Connection, Now);
  ShouldServeWaiting = true;
  auto View = Instances.find(Instance);
  if (View != Instances.end() && Reply.Condition)
    View->second.KnownPosition =
        std::max(View->second.KnownPosition, Reply.Condition->Received);
  if (Group)
    Group->recordAnswer(Instance, Now);
  if (Group && Reply.Condition)
    Group->callAnswered(Instance, *Reply.Condition, StatusDate, Now);
  bool IsDatedBack = Reply.Condition && StatusDate < Request.SentAt;
  if (IsDatedBack && Request.Verb == backend_verb::Status) {
    backend_request Status;
    Status.Verb = backend_verb::Status;
    Pool.callAnew(Instance, Account, Status, Now);
  }
}

void session_engine::sessionReplied(session &Session, connection &Connection,
                                    const backend_reply &Reply,
                                    base::time_point SentAt,
                                    base::time_point Now) {
  operation &Operation = *Session.Current;
  switch (Operation.Stage) {
  case stage::Preparing:
    if (Reply.Error) {
      // The values set on the connection are unknown after an error. Closing it
      // rolls back the transaction that it carries.
      base::instance_id Instance = Connection.Instance;
      Pool.discard(Connection.Number);
      connectionLost(Session, Instance, refusal::Busy, Now);
    } else if (--Operation.AwaitedReplies == 0 &&
               !closeEarly(Connection, Now)) {
      beginOrSend(Session, Connection, Now);
    }
    return;
  case stage::Beginning:
    recordReply(Connection, Session, Reply, SentAt, Now);
    beginReplied(Session, Connection, Reply, Now);
    return;
  case stage::Running:
    recordReply(Connection, Session, Reply, SentAt, Now);
    if (Reply.Error)
      statementFailed(Session, Connection, Reply, Now);
    else
      statementSucceeded(Session, Connection, Reply, Now);
    return;
  default:
    backendLost(Connection.Number, std::nullopt, Now);
  }
}

void session_engine::recordReply(const connection &Connection,
                                 const session &Session,
                                 const backend_reply &Reply,
                                 base::time_point SentAt,
                                 base::time_point Now) {
  auto View = Instances.find(Connection.Instance);
  supervisor *Group = groupOf(Connection.Group);
  if (View == Instances.end() || !Group)
    return;
  Group->recordAnswer(Connection.Instance, Now);
  if (Reply.Error) {
    recordRefusal(Connection.Instance, *Reply.Error, Now);
    return;
  }
  const operation &Operation = *Session.Current;
  bool IsRunning = Operation.Stage == stage::Running;
  bool IsRead = IsRunning && !Operation.IsWrite &&
                Operation.Statement.Kind != statement_kind::Commit;
  if (IsRead) {
    double ElapsedMicroseconds = static_cast<double>((Now - SentAt).count());
    double &Smoothed = View->second.ReadMicroseconds;
    Smoothed = Smoothed > 0
                   ? Smoothed + ReadSmoothing * (ElapsedMicroseconds - Smoothed)
                   : ElapsedMicroseconds;
  }
  if (!Reply.Position)
    return;
  View->second.KnownPosition =
      std::max(View->second.KnownPosition, *Reply.Position);
  View->second.LagPause = {};
  bool IsSingleWrite =
      Operation.IsWrite && Session.Phase != session_phase::InTransaction;
  bool IsCommit = Operation.Statement.Kind == statement_kind::Commit &&
                  Session.Transaction.HasWritten;
  if (IsRunning && (IsSingleWrite || IsCommit))
    Group->recordCommit(Connection.Instance, *Reply.Position, SentAt, Now);
  else
    Group->leadership().recordPosition(Connection.Instance, *Reply.Position,
                                       SentAt);
}

void session_engine::beginReplied(session &Session, connection &Connection,
                                  const backend_reply &Reply,
                                  base::time_point Now) {
  if (!Reply.Error) {
    Session.Transaction.HasBegun = true;
    if (!closeEarly(Connection, Now))
      sendStatement(Session, Connection, Now);
    return;
  }
  if (canRetry(Session, *Reply.Error, Now)) {
    retry(Session, &Connection, *Reply.Error, Reply.Phase, Now);
    return;
  }
  returnToPool(Connection, Reply.Phase, Now);
  Session.Transaction.Connection.reset();
  answerError(Session, refusal::Aborted,
              "the instance did not open the transaction", Now);
}

void session_engine::statementSucceeded(session &Session,
                                        connection &Connection,
                                        const backend_reply &Reply,
                                        base::time_point Now) {
  operation &Operation = *Session.Current;
  detail::transaction_state &Transaction = Session.Transaction;
  bool IsInTransaction = Session.Phase == session_phase::InTransaction;
  bool IsCommit = Operation.Statement.Kind == statement_kind::Commit;
  bool HasCommitted =
      IsCommit ? Transaction.HasWritten : Operation.IsWrite && !IsInTransaction;
  supervisor *CommitGroup = HasCommitted ? groupOf(Connection.Group) : nullptr;
  if (CommitGroup && CommitGroup->isCommitProved(Connection.Instance,
                                                 Reply.Position, Now) != true) {
    awaitProof(Session, Connection, Reply, Now);
    return;
  }
  if (!IsCommit && !Operation.IsWrite) {
    supervisor *Group = groupOf(Connection.Group);
    bool IsPrimary =
        Group && Group->leadership().primary() == Connection.Instance;
    ++(IsPrimary ? Counters.ReadsOnPrimaries : Counters.ReadsOnReplicas);
  }
  if (HasCommitted) {
    returnToPool(Connection, Reply.Phase, Now);
    commitSucceeded(Session, Reply, Now);
    return;
  }
  client_answer Answer;
  Answer.Rows = Reply.Rows;
  Answer.Receipt = Reply.Receipt;
  if (IsInTransaction && !IsCommit) {
    Transaction.HasRun = true;
    Transaction.HasWritten = Transaction.HasWritten || Operation.IsWrite;
    Transaction.LastUsedAt = Now;
  } else {
    returnToPool(Connection, Reply.Phase, Now);
    Transaction = {};
    Session.Phase = session_phase::Idle;
  }
  answer(Session, std::move(Answer), Now);
}

void session_engine::awaitProof(session &Session, connection &Connection,
                                const backend_reply &Reply,
                                base::time_point Now) {
  operation &Operation = *Session.Current;
  Operation.Stage = stage::AwaitingProof;
  Operation.Commit = {Connection.Instance, Reply, Now};
  returnToPool(Connection, Reply.Phase, Now);
  Session.Transaction.Connection.reset();
  Session.Transaction.HasBegun = false;
  detach(Session);
  Waiting.emplace(Session.Route.Priority, Operation.ReceivedAt, Session.Number);
  completeCommit(Session, Now);
}

void session_engine::completeCommit(session &Session, base::time_point Now) {
  operation &Operation = *Session.Current;
  supervisor *Group = groupOf(Session.Route.Group);
  base::time_point Limit =
      Operation.ReceivedAt + Session.Route.StatementTimeout;
  std::optional<bool> IsProved =
      Group ? Group->isCommitProved(Operation.Commit->Instance,
                                    Operation.Commit->Reply.Position,
                                    Operation.Commit->AcknowledgedAt)
            : false;
  if (IsProved == true) {
    commitSucceeded(Session, backend_reply(Operation.Commit->Reply), Now);
  } else if (IsProved == false || Now >= Limit) {
    answerError(Session, refusal::InDoubt,
                IsProved == false
                    ? "the instance is not proved to have been the primary"
                    : "no listed replica is known to hold the commit",
                Now);
  } else {
    Group->requestCommitProof(Operation.Commit->AcknowledgedAt, Now);
    setWake(Session, std::min(Limit, Now + CommitProofInterval));
  }
}

void session_engine::commitSucceeded(session &Session,
                                     const backend_reply &Reply,
                                     base::time_point Now) {
  if (Reply.Position) {
    Session.LastCommit = Reply.Position;
    Session.CommitGroup = Session.Route.Group;
    if (supervisor *Group = groupOf(Session.Route.Group))
      Group->recordAcknowledged(*Reply.Position);
  }
  client_answer Answer;
  Answer.Rows = Reply.Rows;
  Answer.Receipt = Reply.Receipt;
  Session.Transaction = {};
  Session.Phase = session_phase::Idle;
  answer(Session, std::move(Answer), Now);
}

void session_engine::statementFailed(session &Session, connection &Connection,
                                     const backend_reply &Reply,
                                     base::time_point Now) {
  refusal Reason = *Reply.Error;
  if (canRetry(Session, Reason, Now)) {
    retry(Session, &Connection, Reason, Reply.Phase, Now);
    return;
  }
  bool IsInTransaction = Session.Phase == session_phase::InTransaction;
  bool IsCommit = Session.Current->Statement.Kind == statement_kind::Commit;
  returnToPool(Connection, Reply.Phase, Now);
  Session.Transaction.Connection.reset();
  Session.Transaction.HasBegun = false;
  // The transaction is rolled back, so the statement has no effect even if it
  // ran.
  if (IsInTransaction && !IsCommit && !guaranteesNoEffect(Reason))
    Reason = refusal::Aborted;
  answerError(Session, Reason, "the instance refused: " + Reply.ErrorText, Now);
}

void session_engine::returnToPool(connection &Connection,
                                  session_phase BackendPhase,
                                  base::time_point Now) {
  if (BackendPhase == session_phase::Idle)
    Pool.release(Connection, Now);
  else
    Pool.rollBackAndRelease(Connection, Now);
  ShouldServeWaiting = true;
}

} // namespace radishrelay::sessions
