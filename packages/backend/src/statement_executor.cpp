#include "statement_executor.h"

#include <array>
#include <charconv>

namespace radishrelay::backend::detail {

namespace {

const sql_error FailedTransaction = {
    "25P02", "current transaction is aborted, commands ignored until end of "
             "transaction block"};
const sql_error ReadOnly = {"25006",
                            "cannot execute a write in a read-only instance"};
const sql_error Fenced = {"55000", "the instance was raised to a newer term"};
const sql_error LockTimeout = {"55P03", "write lock not available"};
const sql_error Canceled = {"57014", "canceling statement due to user request"};
const sql_error Unsupported = {"0A000", "statement not supported"};

bool endsBlock(statement_kind Kind) {
  return Kind == statement_kind::Commit || Kind == statement_kind::Rollback;
}

std::string tagOf(const std::string &Text, const result_set &Result) {
  std::string Word = firstWord(Text);
  std::string Affected = std::to_string(Result.Affected);
  if (Word == "INSERT" || Word == "REPLACE")
    return "INSERT 0 " + Affected;
  if (Word == "UPDATE" || Word == "DELETE")
    return Word + " " + Affected;
  if (Word == "CREATE" || Word == "DROP" || Word == "ALTER")
    return Word + " TABLE";
  return "SELECT " + std::to_string(Result.Rows.size());
}

std::optional<groups::term_number> parseTerm(const statement &Statement) {
  if (Statement.Parameters.empty() || !Statement.Parameters.front())
    return std::nullopt;
  const std::string &Text = *Statement.Parameters.front();
  groups::term_number Term = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data(), End, Term);
  if (Error != std::errc() || Rest != End)
    return std::nullopt;
  return Term;
}

prepared_shape groupCallShape(statement_kind Kind) {
  if (Kind == statement_kind::GroupStatus)
    return {{"group_status"}, 0, false};
  bool IsRaise = Kind == statement_kind::GroupRaiseTerm;
  return {{IsRaise ? "group_raise_term" : "group_promote"}, 1, false};
}

bool isGroupCall(statement_kind Kind) {
  return Kind == statement_kind::GroupStatus ||
         Kind == statement_kind::GroupRaiseTerm ||
         Kind == statement_kind::GroupPromote;
}

} // namespace

base::expected<prepared_shape, sql_error>
statement_executor::describe(const std::string &Text) {
  statement_kind TextKind = classify(Text);
  if (TextKind == statement_kind::Unsupported)
    return Unsupported;
  if (isGroupCall(TextKind))
    return groupCallShape(TextKind);
  if (HasFailed && !endsBlock(TextKind))
    return FailedTransaction;
  if (TextKind != statement_kind::Sql)
    return prepared_shape{};
  instance_store &Store = Instance.Store;
  return (isWriting() ? Store.working() : Store.committed()).describe(Text);
}

void statement_executor::start(statement Statement, base::time_point Now) {
  Current = std::move(Statement);
  Kind = classify(Current.Text);
  Refusal = prepareRun();
  Stage = Refusal ? stage::Run : IsWrite ? stage::Lock : stage::Slot;
  Deadline = Now + Instance.LockWait;
}

/// Decides what the statement has to wait for, or why it cannot run.
std::optional<sql_error> statement_executor::prepareRun() {
  IsWrite = false;
  auto Shape = describe(Current.Text);
  if (!Shape)
    return Shape.error();
  IsWrite = Shape->IsWrite;
  if (!IsWrite)
    return std::nullopt;
  if (Instance.Store.Log.role() != groups::instance_role::Primary)
    return ReadOnly;
  return Instance.Store.Log.mayCommit() ? std::nullopt : std::optional(Fenced);
}

std::optional<statement_executor::outcome>
statement_executor::advance(base::time_point Now) {
  if (Stage == stage::Lock && !enterLock(Now))
    return std::nullopt;
  if (Stage == stage::Slot && !enterSlot(Now))
    return std::nullopt;
  if (Stage == stage::Service && !serve(Now))
    return std::nullopt;
  if (Refusal)
    return finish(*Refusal);
  return finish(execute(Now));
}

bool statement_executor::enterLock(base::time_point Now) {
  bool WasWriting = isWriting() && Instance.Store.isWriting();
  if (!Instance.WriteLock.enter(Id)) {
    if (Now < Deadline)
      return false;
    Refusal = LockTimeout;
    Instance.release(Instance.WriteLock, Id);
    Stage = stage::Run;
    return true;
  }
  if (!WasWriting)
    Instance.Store.beginWrite();
  Stage = stage::Slot;
  return true;
}

bool statement_executor::enterSlot(base::time_point Now) {
  bool TakesTime = Kind == statement_kind::Sql &&
                   Instance.ServiceTime > base::duration::zero();
  if (!TakesTime) {
    Stage = stage::Run;
    return true;
  }
  if (!Instance.Slots.enter(Id))
    return false;
  Deadline = Now + Instance.ServiceTime;
  Stage = stage::Service;
  return true;
}

bool statement_executor::serve(base::time_point Now) {
  if (Now < Deadline)
    return false;
  Instance.release(Instance.Slots, Id);
  Stage = stage::Run;
  return true;
}

std::optional<base::time_point> statement_executor::wakeAt() const {
  if (Stage == stage::Lock || Stage == stage::Service)
    return Deadline;
  return std::nullopt;
}

statement_executor::outcome statement_executor::finish(outcome Outcome) {
  Stage = stage::None;
  Refusal.reset();
  if (!Outcome)
    fail();
  return Outcome;
}

statement_executor::outcome statement_executor::execute(base::time_point Now) {
  switch (Kind) {
  case statement_kind::Sql:
    return executeSql();
  case statement_kind::Begin:
    return begin();
  case statement_kind::Commit:
    return commit(Now);
  case statement_kind::Rollback:
    return rollback();
  case statement_kind::NoOperation:
    return statement_outcome{
        firstWord(Current.Text) == "SET" ? "SET" : "DISCARD ALL", {}};
  case statement_kind::Empty:
    return statement_outcome{};
  case statement_kind::Unsupported:
    return Unsupported;
  default:
    return groupCall(Now);
  }
}

statement_executor::outcome statement_executor::executeSql() {
  ++Instance.Counters.Statements;
  // The transaction was rolled back while the statement waited.
  bool HasLostLock = IsWrite && !isWriting();
  if (HasFailed || HasLostLock)
    return FailedTransaction;
  instance_store &Store = Instance.Store;
  sqlite_database &Database = isWriting() ? Store.working() : Store.committed();
  auto Result = Database.run(Current);
  if (!Result)
    return Result.error();
  if (IsWrite)
    Writes.push_back(Current);
  std::string Tag = tagOf(Current.Text, *Result);
  return statement_outcome{std::move(Tag), std::move(*Result)};
}

statement_executor::outcome statement_executor::begin() {
  InBlock = true;
  return statement_outcome{"BEGIN", {}};
}

statement_executor::outcome statement_executor::commit(base::time_point Now) {
  bool WasFailed = HasFailed;
  InBlock = false;
  HasFailed = false;
  if (WasFailed)
    return statement_outcome{"ROLLBACK", {}};
  if (std::optional<sql_error> Error = commitWrites(Now))
    return *Error;
  return statement_outcome{"COMMIT", {}};
}

statement_executor::outcome statement_executor::rollback() {
  rollbackWrites();
  InBlock = false;
  HasFailed = false;
  return statement_outcome{"ROLLBACK", {}};
}

statement_executor::outcome
statement_executor::groupCall(base::time_point Now) {
  replicated_log &Log = Instance.Store.Log;
  if (Kind != statement_kind::GroupStatus) {
    std::optional<groups::term_number> Term = parseTerm(Current);
    if (!Term)
      return sql_error{"22P02", "the term must be a number"};
    bool IsDone = Kind == statement_kind::GroupRaiseTerm ? Log.raise(*Term)
                                                         : Log.promote(*Term);
    if (!IsDone)
      return sql_error{"55000", "term " + std::to_string(*Term) +
                                    " refused, raised term is " +
                                    std::to_string(Log.raisedTerm())};
  }
  result_set Result;
  Result.Columns = groupCallShape(Kind).Columns;
  Result.Rows.push_back({groups::formatInstanceStatus(Log.status(Now))});
  return statement_outcome{"SELECT 1", std::move(Result)};
}

std::optional<sql_error>
statement_executor::commitWrites(base::time_point Now) {
  if (!isWriting())
    return std::nullopt;
  if (!Instance.Store.Log.mayCommit()) {
    rollbackWrites();
    return Fenced;
  }
  Instance.Store.commit(std::exchange(Writes, {}), Now);
  ++Instance.Counters.Commits;
  AnswerIsLost = std::exchange(Instance.LosesNextCommitAnswer, false);
  Instance.release(Instance.WriteLock, Id);
  return std::nullopt;
}

void statement_executor::rollbackWrites() {
  if (isWriting() && Instance.Store.isWriting())
    Instance.Store.rollback();
  Writes.clear();
  Instance.release(Instance.WriteLock, Id);
}

std::optional<sql_error> statement_executor::sync(base::time_point Now) {
  if (InBlock)
    return std::nullopt;
  HasFailed = false;
  return commitWrites(Now);
}

void statement_executor::fail() {
  rollbackWrites();
  HasFailed = InBlock;
}

void statement_executor::cancel() {
  if (!isBusy())
    return;
  Instance.release(Instance.Slots, Id);
  Refusal = Canceled;
  Stage = stage::Run;
  Instance.Runnable.push_back(Id);
}

void statement_executor::close() {
  rollbackWrites();
  Instance.release(Instance.Slots, Id);
  Stage = stage::None;
  InBlock = false;
  HasFailed = false;
}

char statement_executor::status() const {
  if (HasFailed)
    return 'E';
  return InBlock ? 'T' : 'I';
}

} // namespace radishrelay::backend::detail
