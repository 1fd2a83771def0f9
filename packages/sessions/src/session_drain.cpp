// Graceful shutdown, and the end of idle transactions.
#include "radishrelay/sessions/session_engine.h"

#include <algorithm>

namespace radishrelay::sessions {

void session_engine::endIdleTransactions(base::time_point Now) {
  if (!Catalog || Catalog->TransactionIdleTimeout <= base::duration::zero())
    return;
  for (auto &[Number, Session] : Sessions) {
    detail::transaction_state &Transaction = Session.Transaction;
    bool IsIdle =
        Session.Phase == session_phase::InTransaction && !Session.Current &&
        Transaction.Connection &&
        Now >= Transaction.LastUsedAt + Catalog->TransactionIdleTimeout;
    if (!IsIdle)
      continue;
    endTransactionEarly(Session, refusal::Aborted,
                        "the transaction was idle for too long", Now);
  }
}

void session_engine::endTransactionEarly(session &Session, refusal Refusal,
                                         const std::string &Reason,
                                         base::time_point Now) {
  detail::transaction_state &Transaction = Session.Transaction;
  connection *Connection =
      Transaction.Connection ? Pool.find(*Transaction.Connection) : nullptr;
  if (Connection) {
    Pool.rollBackAndRelease(*Connection, Now);
    ShouldServeWaiting = true;
  }
  Transaction.Connection.reset();
  Transaction.HasBegun = false;
  Transaction.EndReason = Reason;
  Transaction.EndRefusal = Refusal;
}

void session_engine::drain(base::time_point Now) {
  if (IsDraining)
    return;
  IsDraining = true;
  DrainingSince = Now;
  Log.stateChange("drain started", {{"sessions", Sessions.size()}});
  for (auto &[Id, Group] : Groups)
    Group->stopPromoting();
}

bool session_engine::isDrained() const {
  // A promotion that ends with its host leaves a claim, which other hosts
  // respect for some seconds, and fenced replicas.
  return IsDraining && Sessions.empty() &&
         std::ranges::none_of(Groups, [](const auto &Entry) {
           return Entry.second->isPromoting();
         });
}

void session_engine::drainSessions(base::time_point Now) {
  bool ClosesIdle = Now >= DrainingSince + Options.BalancerDelay;
  bool ClosesTransactions =
      Now >= DrainingSince + Options.TransactionDrainTimeout;
  bool ClosesAll = Now >= DrainingSince + Options.StatementDrainTimeout;
  std::vector<session_number> Ended;
  for (const auto &[Number, Session] : Sessions) {
    bool IsRunning = Session.Current.has_value();
    bool IsIdle = Session.Phase == session_phase::Idle;
    if (ClosesAll || (ClosesTransactions && !IsRunning) ||
        (ClosesIdle && !IsRunning && IsIdle))
      Ended.push_back(Number);
  }
  for (session_number Number : Ended) {
    Clients.close(Number);
    remove(Number, Now);
  }
}

} // namespace radishrelay::sessions
