#ifndef RADISHRELAY_GROUPS_PROMOTION_STAGE_H
#define RADISHRELAY_GROUPS_PROMOTION_STAGE_H

namespace radishrelay::groups {

/// Stages of a promotion attempt, in order. The promoter compares them by
/// order.
enum class promotion_stage {
  Idle,
  /// Waiting for the random delay or for the retry budget.
  Delaying,
  /// Reading the group's record from the table service.
  Reading,
  /// Claiming the next term by a conditional write of the record.
  Claiming,
  /// Reading the record again, because the outcome of the claim is unknown or
  /// the claim met a conflict.
  ReadingBack,
  /// Waiting until all leases on older terms have expired.
  AwaitingLeases,
  /// Raising the instances to the claimed term until a majority is raised.
  Raising,
  /// Promoting the raised instance with the most advanced log.
  Promoting,
  /// Writing the new primary into the record.
  Recording,
};

} // namespace radishrelay::groups

#endif
