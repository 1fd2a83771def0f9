// Handling of messages from clients.
#include "radishrelay/sessions/session_engine.h"

#include "radishrelay/base/logged_text.h"

namespace radishrelay::sessions {

namespace {

/// Maximum number of statements of a session that wait for the current one to
/// be answered. A client that sends more is disconnected.
constexpr std::size_t MaxPipelinedStatements = 64;

constexpr const char *WithdrawnKeyText =
    "the key of the transaction was withdrawn";

/// Returns the regions that both the route and the account allow; empty if
/// neither names any.
std::optional<std::set<base::region_id>>
homesOf(const catalog &Catalog, const session_route &Route,
        const base::account_id &Account) {
  auto OfAccount = Catalog.AccountHomes.find(Account);
  bool HasAccountHomes = OfAccount != Catalog.AccountHomes.end();
  if (Route.HomeRegions.empty())
    return HasAccountHomes ? std::optional(OfAccount->second) : std::nullopt;
  std::set<base::region_id> Result = Route.HomeRegions;
  if (HasAccountHomes)
    std::erase_if(Result, [&](const base::region_id &Region) {
      return !OfAccount->second.contains(Region);
    });
  return Result;
}

} // namespace

std::optional<client_answer> session_engine::resolveRoute(session &Session) {
  client_answer Error;
  if (!Catalog) {
    Error.Error = refusal::Busy;
    Error.ErrorText = "the configuration is not known yet";
    return Error;
  }
  auto Route = Catalog->Routes.find(Session.Database);
  if (Route == Catalog->Routes.end()) {
    Error.Error = refusal::UnknownDatabase;
    Error.ErrorText = "no route names this database";
    return Error;
  }
  if (Catalog->InadmissibleKeys.contains(Session.Key)) {
    Error.Error = refusal::UnknownKey;
    Error.ErrorText = "the name of the client account cannot be sent";
    return Error;
  }
  auto Key = Catalog->Keys.find(Session.Key);
  bool IsKnown = Key != Catalog->Keys.end();
  if (!IsKnown && !Route->second.AllowsAnonymous) {
    Error.Error = refusal::UnknownKey;
    Error.ErrorText = "no client account holds this key";
    return Error;
  }
  Session.Route = Route->second;
  Session.Account = IsKnown ? Key->second : base::account_id();
  Session.Homes = homesOf(*Catalog, Session.Route, Session.Account);
  return std::nullopt;
}

bool session_engine::isKeyWithdrawn(const session &Session) const {
  bool IsOfAccount =
      Session.Phase == session_phase::InTransaction && !Session.Account.empty();
  if (!IsOfAccount)
    return false;
  auto Key = Catalog->Keys.find(Session.Key);
  return Key == Catalog->Keys.end() || Key->second != Session.Account ||
         Catalog->InadmissibleKeys.contains(Session.Key);
}

void session_engine::endWithdrawnTransactions(base::time_point Now) {
  std::vector<session_number> Numbers;
  for (const auto &[Number, Session] : Sessions)
    if (isKeyWithdrawn(Session))
      Numbers.push_back(Number);
  for (session_number Number : Numbers) {
    session &Session = Sessions.at(Number);
    if (!Session.Current) {
      endTransactionEarly(Session, refusal::UnknownKey, WithdrawnKeyText, Now);
      continue;
    }
    // A statement that was sent before is answered.
    bool IsSent = Session.Current->Stage == stage::Running ||
                  Session.Current->Stage == stage::AwaitingProof;
    if (IsSent)
      continue;
    // Closing the connection rolls its transaction back.
    if (const connection *Connection = connectionOf(Session))
      Pool.discard(Connection->Number);
    Session.Transaction.Connection.reset();
    Session.Transaction.HasBegun = false;
    answerError(Session, refusal::UnknownKey, WithdrawnKeyText, Now);
  }
}

void session_engine::start(session &Session, const start_session &Message,
                           base::time_point Now) {
  if (Session.IsStarted) {
    Clients.close(Session.Number);
    remove(Session.Number, Now);
    return;
  }
  Session.Database = Message.Database;
  Session.Key = Message.Key;
  if (std::optional<client_answer> Error = resolveRoute(Session)) {
    ++Counters.SessionsRejected;
    if (Log.wantsDecision(true))
      Log.decision("session rejected",
                   {{"database", base::loggedText(Message.Database)},
                    {"reason", refusalName(*Error->Error)},
                    {"configuration", Catalog ? Catalog->Version : 0}});
    Clients.reject(Session.Number, *Error->Error, Error->ErrorText);
    Sessions.erase(Session.Number);
    return;
  }
  Session.IsStarted = true;
  ++Counters.SessionsStarted;
  Clients.accept(Session.Number);
}

void session_engine::receive(session &Session, const run_statement &Message,
                             base::time_point Now) {
  if (!Session.IsStarted) {
    Clients.close(Session.Number);
    Sessions.erase(Session.Number);
    return;
  }
  // An answered statement may have others behind it that have not run yet.
  if (Session.Current || !Session.PipelinedStatements.empty()) {
    if (Session.PipelinedStatements.size() < MaxPipelinedStatements) {
      Session.PipelinedStatements.push_back(Message);
    } else {
      Clients.close(Session.Number);
      remove(Session.Number, Now);
    }
    return;
  }
  run(Session, Message, Now);
}

void session_engine::run(session &Session, const run_statement &Message,
                         base::time_point Now) {
  if (Session.Phase == session_phase::FailedTransaction)
    runInFailedTransaction(Session, Message.Statement, Now);
  else if (!runLocally(Session, Message.Statement, Now))
    runOnInstance(Session, Message, Now);
}

void session_engine::runInFailedTransaction(session &Session,
                                            const statement &Statement,
                                            base::time_point Now) {
  bool IsEnd = Statement.Kind == statement_kind::Rollback ||
               Statement.Kind == statement_kind::Commit;
  client_answer Answer;
  if (!IsEnd) {
    Answer.Error = refusal::Malformed;
    Answer.ErrorText = "the transaction has failed; roll it back";
  } else {
    Session.Phase = session_phase::Idle;
    Session.Transaction = {};
    if (Statement.Kind == statement_kind::Commit) {
      Answer.Error = refusal::Aborted;
      Answer.ErrorText = "the transaction has failed and was rolled back";
    }
  }
  answer(Session, std::move(Answer), Now);
}

bool session_engine::runLocally(session &Session, const statement &Statement,
                                base::time_point Now) {
  client_answer Answer;
  switch (Statement.Kind) {
  case statement_kind::Malformed:
    Answer.Error = refusal::Malformed;
    Answer.ErrorText = "the statement cannot be read";
    break;
  case statement_kind::SetValue:
    Session.Values[Statement.Name] = Statement.Value;
    break;
  case statement_kind::Prepare:
    Session.Prepared[Statement.Name] = {Statement.Value, Statement.Writes};
    break;
  case statement_kind::Deallocate:
    if (Session.Prepared.erase(Statement.Name) == 0) {
      Answer.Error = refusal::UnknownName;
      Answer.ErrorText = "no statement of this name is prepared";
    }
    break;
  case statement_kind::Rollback:
    rollBack(Session, Now);
    return true;
  default:
    return false;
  }
  answer(Session, std::move(Answer), Now);
  return true;
}

void session_engine::rollBack(session &Session, base::time_point Now) {
  endTransaction(Session, Now);
  answer(Session, {}, Now);
}

void session_engine::endTransaction(session &Session, base::time_point Now) {
  if (connection *Connection = connectionOf(Session)) {
    if (Session.Transaction.HasBegun)
      Pool.rollBackAndRelease(*Connection, Now);
    else
      Pool.release(*Connection, Now);
    ShouldServeWaiting = true;
  }
  detach(Session);
  Session.Transaction = {};
  Session.Phase = session_phase::Idle;
}

void session_engine::runOnInstance(session &Session,
                                   const run_statement &Message,
                                   base::time_point Now) {
  const statement &Statement = Message.Statement;
  bool IsBegin = Statement.Kind == statement_kind::Begin ||
                 Statement.Kind == statement_kind::BeginReadOnly;
  bool IsInTransaction = Session.Phase == session_phase::InTransaction;
  bool IsCommit = Statement.Kind == statement_kind::Commit;
  operation Operation;
  Operation.Id = Message.Id;
  Operation.Statement = Statement;
  Operation.ReceivedAt = Now;
  Operation.IsWrite = Statement.Kind == statement_kind::Write;
  if (Statement.Kind == statement_kind::Execute) {
    auto Prepared = Session.Prepared.find(Statement.Name);
    if (Prepared == Session.Prepared.end()) {
      answerError(Session, refusal::UnknownName,
                  "no statement of this name is prepared", Now);
      return;
    }
    Operation.IsWrite = Prepared->second.Writes;
  }
  bool IsMisplaced = IsBegin ? IsInTransaction : IsCommit && !IsInTransaction;
  if (IsMisplaced) {
    answerError(Session, refusal::Malformed,
                IsBegin ? "a transaction is open" : "no transaction is open",
                Now);
    return;
  }
  if (!IsInTransaction) {
    if (std::optional<client_answer> Error = resolveRoute(Session)) {
      answer(Session, std::move(*Error), Now);
      return;
    }
    Operation.NeedsToken = !Session.Account.empty();
    Limits.recordDemand(Session.Account, Now);
  }
  Operation.Stage =
      Operation.NeedsToken ? stage::AwaitingToken : stage::AwaitingInstance;
  Session.Current = std::move(Operation);
  // The key may have been withdrawn while the last statement ran.
  if (isKeyWithdrawn(Session))
    endTransactionEarly(Session, refusal::UnknownKey, WithdrawnKeyText, Now);
  if (!Session.Transaction.EndReason.empty()) {
    answerError(Session, Session.Transaction.EndRefusal,
                Session.Transaction.EndReason, Now);
    return;
  }
  advanceOperation(Session, Now);
}

void session_engine::begin(session &Session, base::time_point Now) {
  Session.Phase = session_phase::InTransaction;
  Session.Transaction = {};
  Session.Transaction.IsReadOnly =
      Session.Current->Statement.Kind == statement_kind::BeginReadOnly;
  Session.Transaction.StartedAt = Session.Current->ReceivedAt;
  Session.Transaction.LastUsedAt = Now;
  answer(Session, {}, Now);
}

void session_engine::answerError(session &Session, refusal Reason,
                                 const std::string &Text,
                                 base::time_point Now) {
  client_answer Answer;
  Answer.Error = Reason;
  Answer.ErrorText = Text;
  bool EndsTransaction = Session.Current && Session.Current->Statement.Kind ==
                                                statement_kind::Commit;
  if (Session.Phase == session_phase::InTransaction) {
    endTransaction(Session, Now);
    if (!EndsTransaction)
      Session.Phase = session_phase::FailedTransaction;
  }
  answer(Session, std::move(Answer), Now);
}

void session_engine::answer(session &Session, client_answer Answer,
                            base::time_point Now) {
  Answer.Phase = Session.Phase;
  if (Answer.Error)
    ++Counters.StatementsRefused;
  else
    ++Counters.StatementsServed;
  logOutcome(Session, Answer, Now);
  if (!Session.Transaction.Connection)
    detach(Session);
  else if (Session.Current)
    setWake(Session, base::time_point::max());
  Session.Current.reset();
  Clients.answer(Session.Number, Answer);
  if (!Session.PipelinedStatements.empty())
    AnsweredSessions.push_back(Session.Number);
}

void session_engine::logOutcome(const session &Session,
                                const client_answer &Answer,
                                base::time_point Now) {
  if (!Session.Current || !Log.wantsDecision(Answer.Error.has_value()))
    return;
  const operation &Operation = *Session.Current;
  base::json Fields = base::json::object();
  Fields["id"] = base::loggedText(Operation.Id);
  Fields["outcome"] =
      Answer.Error ? std::string(refusalName(*Answer.Error)) : "served";
  if (!Answer.ErrorText.empty())
    Fields["reason"] = base::loggedText(Answer.ErrorText);
  Fields["route"] = Session.Route.Name;
  Fields["account"] = Session.Account.str();
  Fields["group"] = Session.Route.Group.str();
  Fields["configuration"] = Catalog ? Catalog->Version : 0;
  Fields["attempts"] = Operation.Attempts;
  Fields["elapsed_us"] = (Now - Operation.ReceivedAt).count();
  if (const connection *Connection = connectionOf(Session))
    Fields["instance"] = Connection->Instance.str();
  if (!Answer.Receipt.empty())
    Fields["receipt"] = base::loggedText(Answer.Receipt);
  if (supervisor *Group = groupOf(Session.Route.Group)) {
    const group_leadership &Leadership = Group->leadership();
    Fields["primary"] = Leadership.primary() ? Leadership.primary()->str() : "";
    Fields["term"] = Leadership.term();
    Fields["proof_age_us"] = (Now - Leadership.provedAt()).count();
  }
  Log.decision("statement", Fields);
}

} // namespace radishrelay::sessions
