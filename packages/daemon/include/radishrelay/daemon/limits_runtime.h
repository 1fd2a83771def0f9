#ifndef RADISHRELAY_DAEMON_LIMITS_RUNTIME_H
#define RADISHRELAY_DAEMON_LIMITS_RUNTIME_H

#include "radishrelay/accounts/account_limiter.h"
#include "radishrelay/daemon/platform_threads.h"
#include "radishrelay/fleet/configuration_document.h"

#include <map>
#include <vector>

namespace radishrelay::daemon {

/// What a limits_runtime needs from the rest of the decision thread.
class limits_outputs {
public:
  virtual ~limits_outputs() = default;

  /// Reads the clock. The time of the event does not suffice, since the thread
  /// may have been paused after it.
  [[nodiscard]] virtual base::time_point clock() const = 0;

  /// Takes the final decision on a request: admitted or refused, never
  /// "waiting".
  virtual void onAdmission(accounts::request_number Request,
                           const accounts::admission &Admission) = 0;
  /// Sends a request to the store; limits_runtime::onStore() takes the answer.
  /// Returns false when the request was not accepted, in which case no answer
  /// follows.
  virtual bool submitLimitsRequest(std::uint64_t Id,
                                   const base::store_request &Request) = 0;
  virtual void sendLimiterMessage(const base::host_id &To,
                                  const accounts::limiter_message &Message) = 0;
};

/// Executes the actions of this host's account limiter, and passes it the
/// answers of the platform's store and the messages of other hosts. Used by the
/// decision thread only.
class limits_runtime {
public:
  limits_runtime(const accounts::host_identity &Self, limits_outputs &Outputs);

  void configure(const fleet::configuration_document &Document,
                 base::time_point Now);
  /// Sets the hosts that are live, this one included.
  void setLive(std::vector<accounts::live_host> Hosts, base::time_point Now);
  /// Asks for a token of \p Account; limits_outputs::onAdmission() takes the
  /// decision, possibly before this returns.
  void admit(accounts::request_number Request, const base::account_id &Account,
             base::time_point Deadline, base::time_point Now);
  void receive(const base::host_id &From,
               const accounts::limiter_message &Message, base::time_point Now);
  void onStore(std::uint64_t Id, const base::store_answer &Answer,
               base::time_point Now);
  void tick(base::time_point Now);
  /// Starts to transfer this host's shares of limits and to release its slot.
  void drain(base::time_point Now);

  [[nodiscard]] bool drained(base::time_point Now) const {
    return Limiter.drained(Now);
  }
  /// True while this host holds one of the slots that divide the connections of
  /// the backend servers among the hosts.
  [[nodiscard]] bool holdsSlot(base::time_point Now) const {
    return Limiter.holdsSlot(Now);
  }
  [[nodiscard]] base::time_point nextWake() const { return NextTick; }
  [[nodiscard]] base::json dump() const { return Limiter.dump(); }

private:
  void apply(const accounts::limiter_actions &Actions, base::time_point Now);
  void on(const accounts::ask_store &Action, base::time_point Now);
  void on(const accounts::send_loan_message &Action, base::time_point Now);
  void on(const accounts::request_decided &Action, base::time_point Now);

  accounts::account_limiter Limiter;
  limits_outputs &Outputs;
  std::map<std::uint64_t, accounts::store_requester> StoreRequests;
  std::uint64_t LastStoreRequest = 0;
  base::time_point NextTick;
};

} // namespace radishrelay::daemon

#endif
