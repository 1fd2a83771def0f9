#ifndef RADISHRELAY_BACKEND_SRC_STATEMENT_EXECUTOR_H
#define RADISHRELAY_BACKEND_SRC_STATEMENT_EXECUTOR_H

#include "instance_context.h"
#include "statement_kind.h"

#include <optional>
#include <string>

namespace radishrelay::backend::detail {

/// Result of a statement with its command tag.
struct statement_outcome {
  std::string Tag;
  result_set Result;
};

/// Runs the statements of one session one after the other and keeps its
/// transaction.
class statement_executor {
public:
  using outcome = base::expected<statement_outcome, sql_error>;

  statement_executor(instance_context &Instance, session_id Id)
      : Instance(Instance), Id(Id) {}
  ~statement_executor() { close(); }
  statement_executor(const statement_executor &) = delete;
  statement_executor &operator=(const statement_executor &) = delete;

  /// Columns and parameters of a statement in the session's present view.
  base::expected<prepared_shape, sql_error> describe(const std::string &Text);

  /// Takes a statement; the previous one must have ended.
  void start(statement Statement, base::time_point Now);
  /// Continues the statement. Empty while it waits for the write lock, a slot
  /// or its service time.
  std::optional<outcome> advance(base::time_point Now);
  [[nodiscard]] bool isBusy() const { return Stage != stage::None; }
  /// When advance() has something to do even if nothing else happens.
  [[nodiscard]] std::optional<base::time_point> wakeAt() const;

  /// Ends the implicit transaction at the end of a query or pipeline.
  std::optional<sql_error> sync(base::time_point Now);
  /// Rolls the transaction back after an error.
  void fail();
  /// Ends the waiting statement with SQLSTATE 57014.
  void cancel();
  /// Rolls back and releases everything.
  void close();

  /// I (idle), T (in transaction) or E (failed transaction).
  [[nodiscard]] char status() const;
  /// True when a fault takes away the answer of a commit.
  [[nodiscard]] bool answerIsLost() const { return AnswerIsLost; }

private:
  enum class stage { None, Lock, Slot, Service, Run };

  bool enterLock(base::time_point Now);
  bool enterSlot(base::time_point Now);
  bool serve(base::time_point Now);
  std::optional<sql_error> prepareRun();
  outcome finish(outcome Outcome);
  outcome execute(base::time_point Now);
  outcome executeSql();
  outcome begin();
  outcome commit(base::time_point Now);
  outcome rollback();
  outcome groupCall(base::time_point Now);
  std::optional<sql_error> commitWrites(base::time_point Now);
  void rollbackWrites();
  [[nodiscard]] bool isWriting() const { return Instance.WriteLock.holds(Id); }

  instance_context &Instance;
  session_id Id;
  stage Stage = stage::None;
  statement Current;
  statement_kind Kind = statement_kind::Empty;
  bool IsWrite = false;
  std::optional<sql_error> Refusal;
  base::time_point Deadline;
  bool InBlock = false;
  bool HasFailed = false;
  std::vector<statement> Writes;
  bool AnswerIsLost = false;
};

} // namespace radishrelay::backend::detail

#endif
