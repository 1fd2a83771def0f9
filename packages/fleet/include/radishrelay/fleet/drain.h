#ifndef RADISHRELAY_FLEET_DRAIN_H
#define RADISHRELAY_FLEET_DRAIN_H

#include "radishrelay/base/json.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/fleet/drain_action.h"

#include <chrono>
#include <cstddef>

namespace radishrelay::fleet {

/// Bounds of a drain.
struct drain_options {
  /// Time after which the balancer has observed that the host is not ready.
  base::duration BalancerWait = std::chrono::seconds(5);
  /// Longest time for running requests and transactions. A request may take up
  /// to 60 s.
  base::duration WorkTimeout = std::chrono::seconds(65);
  /// Longest time for the hand-over; leases expire without it.
  base::duration HandOverTimeout = std::chrono::seconds(5);
};

/// Planned stop of a host: a graceful shutdown that interrupts no request.
class drain {
public:
  enum class stage { Serving, WaitingForBalancer, Finishing, Stopped };

  explicit drain(const drain_options &Options = {});

  /// SIGTERM or an operator's request; a repetition changes nothing.
  drain_actions start(base::time_point Now);
  /// \p Running is the number of requests and transactions under way.
  drain_actions onRunning(std::size_t Running, base::time_point Now);
  /// Loans were given back and ownership was handed over.
  drain_actions onHandedOver(base::time_point Now);
  drain_actions tick(base::time_point Now);

  [[nodiscard]] stage currentStage() const { return Stage; }
  /// False as soon as the drain starts.
  [[nodiscard]] bool isReady() const { return Stage == stage::Serving; }
  /// True while new work is taken, which goes on until the balancer has
  /// observed the change.
  [[nodiscard]] bool acceptsWork() const;
  [[nodiscard]] base::json dump() const;

private:
  void finishIfDone(base::time_point Now, drain_actions &Actions);

  drain_options Options;
  stage Stage = stage::Serving;
  base::time_point BalancerDeadline;
  base::time_point HandOverDeadline;
  base::time_point WorkDeadline;
  std::size_t Running = 0;
  bool HandedOver = false;
};

} // namespace radishrelay::fleet

#endif
