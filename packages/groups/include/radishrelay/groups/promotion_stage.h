#ifndef RADISHRELAY_GROUPS_PROMOTION_STAGE_H
#define RADISHRELAY_GROUPS_PROMOTION_STAGE_H

namespace radishrelay::groups {

/// Steps of a promoter, in order.
enum class promotion_stage {
  Idle,
  /// Random delay before the start.
  Delaying,
  /// Reads the group's record.
  Reading,
  /// Conditional write of the next term.
  Claiming,
  /// The answer to the claim was lost; reads the record again.
  ReadingBack,
  /// Leases of older terms have not ended yet.
  AwaitingLeases,
  /// Raises the term on a majority of the instances.
  Raising,
  /// Promotes the most advanced of them.
  Promoting,
  /// Writes the primary into the record.
  Recording,
};

} // namespace radishrelay::groups

#endif
