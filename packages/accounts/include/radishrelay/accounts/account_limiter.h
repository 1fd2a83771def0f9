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
/// over the whole fleet. One per host, driven by one thread.
///
/// Each function takes the time point at which the caller read its clock and
/// returns what is to be done. Before it carries out an admission or sends a
/// message, the caller reads the clock again and drops what is past its
/// ValidUntil.
class account_limiter {
public:
  explicit account_limiter(const host_identity &Self,
                           limiter_options Options = {});

  /// Takes a newer configuration; older ones are ignored.
  limiter_actions configure(limits_configuration Configuration,
                            base::time_point Now);

  /// Replaces the list of live hosts, this one included.
  limiter_actions setLive(std::vector<live_host> Hosts, base::time_point Now);

  /// Asks for one token of \p Account. The result has the decision, unless the
  /// request waits for borrowed tokens: then a later call has it, at most
  /// MaxWait later and not after \p WaitUntil.
  limiter_actions admit(request_number Request, const base::account_id &Account,
                        base::time_point WaitUntil, base::time_point Now);

  /// A message from another host.
  limiter_actions receive(const base::host_id &From,
                          const limiter_message &Message, base::time_point Now);

  /// The answer to an ask_store action. Each must be answered, with Unknown at
  /// the latest after the store client's deadline.
  limiter_actions storeAnswered(store_requester User,
                                const base::store_answer &Answer,
                                base::time_point Now);

  /// To be called each timing::TickInterval.
  limiter_actions tick(base::time_point Now);

  /// Begins to give back loans, shares and the slot. Requests are still
  /// admitted as long as tokens are at hand.
  limiter_actions drain(base::time_point Now);

  /// True when nothing is held or lent any more.
  [[nodiscard]] bool drained(base::time_point Now) const;

  /// True while the host holds a slot: the connection quota may be used.
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
    /// Requests without an answer in time, whose grant is still accepted.
    std::deque<sent_request> TimedOut;
    /// No longer in the configuration; kept until its loans have ended.
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
