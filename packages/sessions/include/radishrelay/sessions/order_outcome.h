#ifndef RADISHRELAY_SESSIONS_ORDER_OUTCOME_H
#define RADISHRELAY_SESSIONS_ORDER_OUTCOME_H

namespace radishrelay::sessions {

/// What became of an order to promote an instance.
enum class order_outcome {
  /// The platform promotes the instance, or it is the primary already.
  Accepted,
  /// The platform has refused the order, or the order was not sent.
  NotDone,
  /// No answer arrived; the order may still reach the platform.
  Unknown,
};

} // namespace radishrelay::sessions

#endif
