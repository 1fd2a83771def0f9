#include "radishrelay/groups/transaction_table.h"

#include "radishrelay/groups/request_error.h"
#include "radishrelay/groups/retry_policy.h"

#include <algorithm>
#include <array>
#include <utility>

namespace radishrelay::groups {

transaction_refusal refusalForLostHost(bool EndsTransaction) {
  return {request_error::TransactionLost,
          EndsTransaction ? ran_state::Unknown : ran_state::No};
}

transaction_table::transaction_table(base::host_id Host,
                                     std::uint64_t Incarnation,
                                     transaction_limits Limits)
    : Host(std::move(Host)), Incarnation(Incarnation), Limits(Limits) {}

std::optional<transaction_id> transaction_table::open(
    const base::account_id &Account, const base::group_id &Group,
    connection_number Connection, base::time_point Deadline) {
  if (Open.size() >= Limits.MaxOpen)
    return std::nullopt;
  std::uint64_t Number = NextNumber++;
  Open[Number] = {Account, Group, Connection, Deadline, state::Idle, false};
  return transaction_id{Host, Incarnation, Number};
}

transaction_reply
transaction_table::beginStatement(const transaction_id &Id,
                                  const base::account_id &Account,
                                  base::time_point Now) {
  return begin(Id, Account, state::Running, Now);
}

transaction_reply
transaction_table::beginCommit(const transaction_id &Id,
                               const base::account_id &Account,
                               base::time_point Now) {
  return begin(Id, Account, state::Committing, Now);
}

transaction_reply
transaction_table::beginRollback(const transaction_id &Id,
                                 const base::account_id &Account,
                                 base::time_point Now) {
  return begin(Id, Account, state::RollingBack, Now);
}

transaction_reply transaction_table::begin(const transaction_id &Id,
                                           const base::account_id &Account,
                                           state Next, base::time_point Now) {
  bool IsLocal = Id.Host == Host && Id.Incarnation == Incarnation;
  if (!IsLocal)
    return refusalForLostHost(Next != state::Running);
  auto Entry = Open.find(Id.Number);
  if (Entry == Open.end())
    return replyForEnded(Id, Account, Next);
  open_transaction &Item = Entry->second;
  // The existence of a transaction is not disclosed to other accounts.
  if (Item.Account != Account)
    return transaction_refusal{request_error::TransactionLost, ran_state::No};
  if (Item.State != state::Idle)
    return transaction_refusal{request_error::TransactionBusy, ran_state::No};
  bool MaySucceed = Next == state::RollingBack || !Item.HasFailed;
  if (!MaySucceed)
    return transaction_refusal{request_error::StatementFailed, ran_state::No};
  // expire() ends the transaction; until then no new request starts in it.
  if (Now >= Item.Deadline)
    return transaction_refusal{request_error::TransactionLost, ran_state::No};
  Item.State = Next;
  return use_connection{Item.Connection};
}

transaction_reply
transaction_table::replyForEnded(const transaction_id &Id,
                                 const base::account_id &Account,
                                 state Next) const {
  bool EndsTransaction = Next != state::Running;
  auto Entry = Ended.find(Id.Number);
  if (Entry == Ended.end())
    return refusalForLostHost(EndsTransaction);
  const ended_transaction &Item = Entry->second;
  if (Item.Account != Account)
    return transaction_refusal{request_error::TransactionLost, ran_state::No};
  if (EndsTransaction && Item.Outcome == outcome::Unknown)
    return transaction_refusal{request_error::OutcomeUnknown,
                               ran_state::Unknown};
  if (Next == state::Committing && Item.Outcome == outcome::Committed)
    return transaction_finished{true, Item.Position};
  if (Next == state::RollingBack && Item.Outcome == outcome::RolledBack)
    return transaction_finished{false, {}};
  bool IsTooLate =
      Next == state::RollingBack && Item.Outcome == outcome::Committed;
  return transaction_refusal{request_error::TransactionLost,
                             IsTooLate ? ran_state::Yes : ran_state::No};
}

transaction_end transaction_table::requestEnded(std::uint64_t Number,
                                                const attempt_end &End,
                                                const log_position &Position,
                                                base::time_point Now) {
  auto Entry = Open.find(Number);
  if (Entry == Open.end())
    return {};
  open_transaction &Item = Entry->second;
  state PreviousState = std::exchange(Item.State, state::Idle);
  if (End.Succeeded)
    return succeeded(Number, PreviousState, Position, Now);
  // COMMIT may have succeeded and only the status query after it failed.
  bool MayHaveCommitted =
      PreviousState == state::Committing && End.SucceededCount > 0;
  if (MayHaveCommitted || !isDefiniteRollback(End.SqlState)) {
    // A commit that was not sent cannot take effect.
    bool IsUnsent = PreviousState == state::Committing && !End.MayHaveReached;
    Item.State = IsUnsent ? state::Running : PreviousState;
    return endAbnormally(Number, Now);
  }
  transaction_refusal Refusal{request_error::StatementFailed, ran_state::No};
  if (PreviousState == state::Running) {
    Item.HasFailed = true;
    return {Refusal, std::nullopt};
  }
  transaction_end Result = finish(Number, outcome::RolledBack,
                                  connection_release_state::InTransaction, Now);
  Result.Reply = Refusal;
  return Result;
}

transaction_end transaction_table::succeeded(std::uint64_t Number,
                                             state PreviousState,
                                             const log_position &Position,
                                             base::time_point Now) {
  if (PreviousState == state::Running)
    return {};
  bool IsCommitted = PreviousState == state::Committing;
  transaction_end Result =
      finish(Number, IsCommitted ? outcome::Committed : outcome::RolledBack,
             connection_release_state::NeedsReset, Now);
  Ended.at(Number).Position = Position;
  Result.Reply = transaction_finished{IsCommitted, Position};
  return Result;
}

std::optional<transaction_end>
transaction_table::connectionLost(connection_number Connection,
                                  base::time_point Now) {
  for (const auto &[Number, Item] : Open)
    if (Item.Connection == Connection)
      return endAbnormally(Number, Now);
  return std::nullopt;
}

std::vector<transaction_end> transaction_table::expire(base::time_point Now) {
  purgeOutcomes(Now);
  std::vector<std::uint64_t> Expired;
  for (const auto &[Number, Item] : Open)
    if (Now >= Item.Deadline)
      Expired.push_back(Number);
  std::vector<transaction_end> Ends;
  Ends.reserve(Expired.size());
  for (std::uint64_t Number : Expired)
    Ends.push_back(endAbnormally(Number, Now));
  return Ends;
}

transaction_end transaction_table::endAbnormally(std::uint64_t Number,
                                                 base::time_point Now) {
  state State = Open.at(Number).State;
  bool IsCommitSent = State == state::Committing;
  transaction_end Result =
      finish(Number, IsCommitSent ? outcome::Unknown : outcome::RolledBack,
             State == state::Idle ? connection_release_state::InTransaction
                                  : connection_release_state::Uncertain,
             Now);
  if (IsCommitSent)
    Result.Reply =
        transaction_refusal{request_error::OutcomeUnknown, ran_state::Unknown};
  else if (State != state::Idle)
    Result.Reply =
        transaction_refusal{request_error::TransactionLost, ran_state::No};
  return Result;
}

transaction_end transaction_table::finish(std::uint64_t Number, outcome Outcome,
                                          connection_release_state End,
                                          base::time_point Now) {
  const open_transaction &Item = Open.at(Number);
  Ended[Number] = {Item.Account, Outcome, {}, Now + Limits.OutcomeRetention};
  EndOrder.push_back(Number);
  transaction_release Release{Number, Item.Connection, End};
  Open.erase(Number);
  return {std::nullopt, Release};
}

void transaction_table::purgeOutcomes(base::time_point Now) {
  while (!EndOrder.empty()) {
    bool IsOld = Ended.at(EndOrder.front()).ExpiresAt <= Now;
    if (!IsOld && EndOrder.size() <= Limits.MaxOutcomes)
      return;
    Ended.erase(EndOrder.front());
    EndOrder.pop_front();
  }
}

std::optional<base::time_point> transaction_table::nextDeadline() const {
  std::optional<base::time_point> Next;
  for (const auto &[Number, Item] : Open)
    Next = std::min(Next.value_or(Item.Deadline), Item.Deadline);
  return Next;
}

base::json transaction_table::dump() const {
  constexpr std::array<const char *, 4> Names{"idle", "running", "committing",
                                              "rolling_back"};
  base::json Dump = base::json::object();
  Dump["incarnation"] = Incarnation;
  Dump["kept_outcomes"] = Ended.size();
  Dump["open"] = base::json::array();
  for (const auto &[Number, Item] : Open)
    Dump["open"].push_back(
        {{"number", Number},
         {"account", Item.Account.str()},
         {"group", Item.Group.str()},
         {"connection", Item.Connection},
         {"state", Names.at(static_cast<std::size_t>(Item.State))},
         {"deadline_us", base::toMicroseconds(Item.Deadline)}});
  return Dump;
}

} // namespace radishrelay::groups
