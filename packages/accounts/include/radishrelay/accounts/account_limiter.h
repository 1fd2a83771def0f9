#ifndef RADISHRELAY_ACCOUNTS_ACCOUNT_LIMITER_H
#define RADISHRELAY_ACCOUNTS_ACCOUNT_LIMITER_H

#include "radishrelay/accounts/account_tokens.h"
#include "radishrelay/accounts/host_slots.h"
#include "radishrelay/accounts/leased_shares.h"
#include "radishrelay/accounts/lender_order.h"
#include "radishrelay/accounts/limit_phases.h"
#include "radishrelay/accounts/limiter_action.h"
#include "radishrelay/accounts/limiter_options.h"
#include "radishrelay/accounts/owner_selection.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace radishrelay::accounts {

/// Admits requests within the rate and burst that each client account has
/// over the whole fleet. Each host has one limiter, driven by one thread.
///
/// Each function takes the time point at which the caller read its clock and
/// returns the actions for the caller to execute. Before the caller executes
/// an admission or sends a message, it reads the clock again and drops the
/// action if its ValidUntil has passed.
class account_limiter {
public:
  explicit account_limiter(const host_identity &Self,
                           limiter_options Options = {});

  /// Applies \p Configuration if it is newer than the current one.
  limiter_actions configure(limits_configuration Configuration,
                            base::time_point Now);

  /// Replaces the list of live hosts, which includes this host.
  limiter_actions setLive(std::vector<live_host> Hosts, base::time_point Now);

  /// Requests one token of \p Account. The result contains the decision. If
  /// the decision is \c waiting, a later call returns the final one, within
  /// MaxWait and not after \p WaitUntil.
  limiter_actions admit(request_number Request, const base::account_id &Account,
                        base::time_point WaitUntil, base::time_point Now);

  /// Handles a message from the limiter of another host.
  limiter_actions receive(const base::host_id &From,
                          const limiter_message &Message, base::time_point Now);

  /// Handles the answer to an ask_store action. The caller answers each
  /// action, with Unknown when the store client's deadline has passed.
  limiter_actions storeAnswered(store_requester User,
                                const base::store_answer &Answer,
                                base::time_point Now);

  /// Runs the periodic work. The caller calls it every timing::TickInterval.
  limiter_actions tick(base::time_point Now);

  /// Starts to return loans, shares and the slot. Requests are still admitted
  /// while tokens are available.
  limiter_actions drain(base::time_point Now);

  /// True when the drain has returned all shares, the slot and all loans to
  /// other hosts.
  [[nodiscard]] bool drained(base::time_point Now) const;

  /// True while the host holds a slot and may use its connection quota.
  [[nodiscard]] bool holdsSlot(base::time_point Now) const;

  [[nodiscard]] base::json dump() const;

private:
  struct waiting_request {
    request_number Request;
    base::time_point Until;
  };
  struct sent_request {
    std::uint64_t Number;
    base::host_id Lender;
    token_amount Amount;
    base::time_point SentAt;
  };
  struct account_state {
    account_limits Limits;
    account_tokens Tokens;
    lender_order Lenders;
    std::deque<waiting_request> Waiting;
    std::optional<sent_request> Sent;
    /// Loan requests that timed out. Their grants are still accepted.
    std::deque<sent_request> TimedOut;
    /// True when the account is no longer in the configuration. Its state is
    /// kept until its loans have ended.
    bool Removed = false;
    base::host_id Owner;
  };

  account_state *find(const base::account_id &Account);
  void updateAccounts(base::time_point Now);
  void removeAccount(account_state &State, base::time_point Now);
  void updateOwners(base::time_point Now);
  void advance(account_state &State, base::time_point Now);
  void emitDecision(request_number Request, const account_state &State,
                    admission Admission);
  [[nodiscard]] refused refusal(const account_state &State,
                                base::time_point Now) const;
  bool tryAdmit(request_number Request, account_state &State,
                base::time_point Now);
  void serveWaiting(account_state &State, base::time_point Now);
  [[nodiscard]] bool mayBorrowBefore(const account_state &State,
                                     base::time_point Until) const;
  void borrow(account_state &State, base::time_point Now);
  void returnLoans(account_state &State, base::time_point EndsBefore,
                   base::time_point Now);
  void tickAccount(account_state &State, base::time_point Now);
  void handle(const base::host_id &From, const loan_request &Request,
              base::time_point Now);
  void handle(const base::host_id &From, const loan_grant &Grant,
              base::time_point Now);
  void handle(const base::host_id &From, const loan_reports &Message,
              base::time_point Now);
  void send(const base::host_id &To, limiter_message Message,
            base::time_point Now);
  [[nodiscard]] std::vector<share_request> shareRequests() const;
  void pollStore(base::time_point Now);
  void finishDrain(base::time_point Now);
  [[nodiscard]] bool anyAccountHasLoans() const;
  limiter_actions takeActions();

  host_identity Self;
  limiter_options Options;
  limit_phases Phases;
  host_slots Slots;
  leased_shares Shares;
  owner_selection Owners;
  std::map<base::account_id, account_state> Accounts;
  limiter_actions Actions;
  std::uint64_t LastNumber = 0;
  base::time_point OwnersUpdatedAt;
  bool Draining = false;
  bool Settled = false;
};

} // namespace radishrelay::accounts

#endif
