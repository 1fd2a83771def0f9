#ifndef RADISHRELAY_GROUPS_FAIR_QUEUE_H
#define RADISHRELAY_GROUPS_FAIR_QUEUE_H

#include "radishrelay/base/json.h"
#include "radishrelay/groups/fair_queue_options.h"
#include "radishrelay/groups/queue_admission.h"
#include "radishrelay/groups/queue_item.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace radishrelay::groups {

/// Deficit round robin over the client accounts that wait for one instance.
///
/// Each account with waiting requests receives the same service, measured in
/// time on the instance, whatever the others send.
class fair_queue {
public:
  explicit fair_queue(fair_queue_options Options = {});
  ~fair_queue();
  fair_queue(const fair_queue &) = delete;
  fair_queue &operator=(const fair_queue &) = delete;

  /// Sets how many requests run at the same time, for the estimate of waits.
  void setConcurrency(std::size_t Running);

  /// Admits a request, or refuses it when it would end after its deadline.
  queue_admission push(const queued_request &Request, base::time_point Now);

  /// Takes the request whose turn it is; never one past its deadline.
  std::optional<queued_request> pop(base::time_point Now);

  /// Removes the requests whose deadline has passed; they did not run.
  std::vector<queued_request> takeExpired(base::time_point Now);

  /// Removes a request, for example because its caller is gone. Returns false
  /// when it is not queued.
  bool remove(std::uint64_t Id);

  /// Wait that a request of \p Account with \p Cost would have. Each other
  /// account is served at most as much as this one in the meantime.
  [[nodiscard]] base::duration estimatedWait(const base::account_id &Account,
                                             base::duration Cost) const;

  /// The earliest deadline of a queued request.
  [[nodiscard]] std::optional<base::time_point> nextDeadline() const;
  [[nodiscard]] std::size_t size() const { return Ids.size(); }
  [[nodiscard]] base::json dump() const;

private:
  detail::account_queue &queueOf(const base::account_id &Account);
  void setExpiredAside(base::time_point Now);
  queued_request unlink(detail::queue_item &Item);
  void endTurn(detail::account_queue &Queue);

  fair_queue_options Options;
  std::size_t Concurrency = 1;
  std::map<base::account_id, std::unique_ptr<detail::account_queue>> Accounts;
  detail::account_round Round;
  detail::items_by_deadline Deadlines;
  detail::items_by_id Ids;
  /// Removed at their deadline and not yet reported.
  std::vector<queued_request> Expired;
};

} // namespace radishrelay::groups

#endif
