#include "radishrelay/accounts/account_limiter.h"
#include "radishrelay/accounts/limits_timing.h"

#include <algorithm>
#include <map>
#include <utility>
#include <variant>

namespace radishrelay::accounts {

void account_limiter::borrow(account_state &State, base::time_point Now) {
  if (State.Sent)
    return;
  auto Waiting = static_cast<std::int64_t>(State.Waiting.size());
  token_amount Amount = State.Tokens.shortage(Waiting, Now);
  auto Lender = State.Lenders.choose(Now);
  if (Amount <= 0 || !Lender || (Draining && Waiting == 0))
    return;
  State.Sent = sent_request{++LastNumber, *Lender, Amount, Now};
  send(*Lender,
       loan_request{State.Limits.Account, Self.Incarnation, LastNumber, Amount},
       Now);
}

void account_limiter::returnLoans(account_state &State,
                                  base::time_point EndsBefore,
                                  base::time_point Now) {
  std::map<base::host_id, loan_reports> Messages;
  for (const borrowed_tokens::loan &Loan :
       State.Tokens.Borrowed.removeEnded(EndsBefore))
    Messages[Loan.Lender].Reports.push_back({State.Limits.Account,
                                             Loan.LenderIncarnation,
                                             Loan.Number, Loan.Spent});
  for (auto &[Lender, Message] : Messages)
    send(Lender, std::move(Message), Now);
}

limiter_actions account_limiter::receive(const base::host_id &From,
                                         const limiter_message &Message,
                                         base::time_point Now) {
  std::visit([&](const auto &Body) { handle(From, Body, Now); }, Message);
  return takeActions();
}

void account_limiter::handle(const base::host_id &From,
                             const loan_request &Request,
                             base::time_point Now) {
  loan_grant Grant{Request.Account, Request.BorrowerIncarnation, Request.Number,
                   Self.Incarnation};
  account_state *State = find(Request.Account);
  if (State) {
    advance(*State, Now);
    if (Owners.isInOwnDomain(From))
      State->Tokens.DomainDemand.add(Request.Amount);
    bool IsOwner = State->Owner == Self.Host;
    if (!Draining && State->Waiting.empty())
      State->Tokens.lend(Request.Amount, IsOwner, ++LastNumber, Now, Grant);
  }
  send(From, Grant, Now);
}

void account_limiter::handle(const base::host_id &From, const loan_grant &Grant,
                             base::time_point Now) {
  account_state *State = find(Grant.Account);
  if (!State || Grant.BorrowerIncarnation != Self.Incarnation)
    return;
  auto Found = std::find_if(State->TimedOut.begin(), State->TimedOut.end(),
                            [&](const sent_request &Sent) {
                              return Sent.Number == Grant.RequestNumber;
                            });
  bool IsTimedOut = Found != State->TimedOut.end();
  bool IsCurrent = State->Sent && State->Sent->Number == Grant.RequestNumber;
  // Drops repeated grants: tokens of the first one may already be spent.
  if (!IsTimedOut && !IsCurrent)
    return;
  sent_request Sent = IsTimedOut ? *Found : *State->Sent;
  if (IsTimedOut)
    State->TimedOut.erase(Found);
  else
    State->Sent.reset();
  advance(*State, Now);
  if (Grant.Amount <= 0) {
    State->Lenders.recordDenial(From, Now);
  } else {
    State->Tokens.Borrowed.add({From, Grant.LenderIncarnation, Grant.Loan,
                                Grant.Amount, 0, Sent.SentAt + Grant.Validity});
    if (Grant.Amount < Sent.Amount)
      State->Lenders.recordPartialGrant(From, Now);
    else
      State->Lenders.recordGrant(From);
  }
  serveWaiting(*State, Now);
  borrow(*State, Now);
}

void account_limiter::handle(const base::host_id & /*From*/,
                             const loan_reports &Message,
                             base::time_point Now) {
  for (const loan_report &Report : Message.Reports) {
    account_state *State = find(Report.Account);
    if (!State || Report.LenderIncarnation != Self.Incarnation)
      continue;
    advance(*State, Now);
    State->Tokens.settle(Report.Loan, Report.Spent);
  }
}

void account_limiter::send(const base::host_id &To, limiter_message Message,
                           base::time_point Now) {
  Actions.push_back(
      send_loan_message{To, std::move(Message), Now + timing::MaxActionDelay});
}

} // namespace radishrelay::accounts
