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

/// Queue of the requests that wait for one instance, served by deficit round
/// robin over their client accounts.
///
/// Each account with waiting requests receives the same share of service time
/// on the instance, regardless of how much the other accounts send.
class fair_queue {
public:
  explicit fair_queue(fair_queue_options Options = {});
  ~fair_queue();
  fair_queue(const fair_queue &) = delete;
  fair_queue &operator=(const fair_queue &) = delete;

  /// Sets how many requests run at the same time, which estimatedWait() uses.
  void setConcurrency(std::size_t Running);

  /// Queues a request, or refuses it when the queue is full or when the request
  /// is expected to end after its deadline.
  queue_admission push(const queued_request &Request, base::time_point Now);

  /// Removes and returns the request that is to run next; never one whose
  /// deadline has passed. Empty when none waits.
  std::optional<queued_request> pop(base::time_point Now);

  /// Removes and returns the requests whose deadline has passed; they did not
  /// run.
  std::vector<queued_request> takeExpired(base::time_point Now);

  /// Removes a request, for example because its client has disconnected.
  /// Returns false when the request is not queued.
  bool remove(std::uint64_t Id);

  /// Estimates how long a request of \p Account with \p Cost would wait. Until
  /// then, each other account is served at most as much as \p Account.
  [[nodiscard]] base::duration estimatedWait(const base::account_id &Account,
                                             base::duration Cost) const;

  /// Returns the earliest deadline of a queued request.
  [[nodiscard]] std::optional<base::time_point> nextDeadline() const;
  [[nodiscard]] std::size_t size() const { return Ids.size(); }
  [[nodiscard]] base::json dump() const;

private:
  detail::account_queue &queueOf(const base::account_id &Account);
  void collectExpired(base::time_point Now);
  queued_request unlink(detail::queue_item &Item);
  void endTurn(detail::account_queue &Queue);

  fair_queue_options Options;
  std::size_t Concurrency = 1;
  std::map<base::account_id, std::unique_ptr<detail::account_queue>> Accounts;
  detail::account_round Round;
  detail::items_by_deadline Deadlines;
  detail::items_by_id Ids;
  /// Requests that were removed at their deadline and that takeExpired() has
  /// not returned yet.
  std::vector<queued_request> Expired;
};

} // namespace radishrelay::groups

#endif
