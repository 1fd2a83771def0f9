#ifndef RADISHRELAY_FLEET_DRAIN_H
#define RADISHRELAY_FLEET_DRAIN_H

#include "radishrelay/base/json.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/fleet/drain_action.h"

#include <chrono>
#include <cstddef>

namespace radishrelay::fleet {

/// Time limits of a drain.
struct drain_options {
  /// Time from the failing readiness check to the refusal of new work. The load
  /// balancer must have stopped routing to the host by then.
  base::duration BalancerWait = std::chrono::seconds(5);
  /// Maximum time for running requests and transactions to finish. It exceeds
  /// 60 s, the maximum duration of a request.
  base::duration WorkTimeout = std::chrono::seconds(65);
  /// Maximum time for returning loans and transferring shares and ownership. If
  /// it is exceeded, the leases expire instead.
  base::duration HandOverTimeout = std::chrono::seconds(5);
};

/// Graceful shutdown of a host as a state machine. Running requests and
/// transactions are aborted only if they exceed drain_options::WorkTimeout.
///
/// The caller executes the returned actions.
class drain {
public:
  enum class stage { Serving, WaitingForBalancer, Finishing, Stopped };

  explicit drain(const drain_options &Options = {});

  /// Starts the drain. Called on SIGTERM or on an operator's request; later
  /// calls have no effect.
  drain_actions start(base::time_point Now);
  /// Updates the number of requests and transactions in progress to \p Running.
  drain_actions onRunning(std::size_t Running, base::time_point Now);
  /// Called when all loans are returned and all ownership is transferred.
  drain_actions onHandedOver(base::time_point Now);
  drain_actions tick(base::time_point Now);

  [[nodiscard]] stage currentStage() const { return Stage; }
  /// Result of the readiness check: false from the start of the drain.
  [[nodiscard]] bool isReady() const { return Stage == stage::Serving; }
  /// True while new requests and transactions are accepted, that is, until
  /// drain_options::BalancerWait has elapsed after the start of the drain.
  [[nodiscard]] bool acceptsWork() const;
  [[nodiscard]] base::json dump() const;

private:
  void stopIfFinished(base::time_point Now, drain_actions &Actions);

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
