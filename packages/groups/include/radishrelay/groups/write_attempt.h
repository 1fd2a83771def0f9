#ifndef RADISHRELAY_GROUPS_WRITE_ATTEMPT_H
#define RADISHRELAY_GROUPS_WRITE_ATTEMPT_H

#include "radishrelay/base/json.h"
#include "radishrelay/groups/group_view.h"

namespace radishrelay::groups {

/// Where a write stands before its commit answer.
enum class attempt_state {
  /// Nothing has reached an instance.
  Waiting,
  /// A byte may have reached an instance.
  Sent,
  /// Ended with the refusal no_primary, ran=no.
  NotRun,
  /// Ended with outcome_unknown.
  Unknown,
};

/// One write up to its commit answer: to which instance it may be sent, and
/// what is true of it when it ends without one. "Not run" is said only while
/// nothing can have reached an instance.
class write_attempt {
public:
  explicit write_attempt(base::time_point Deadline) : Deadline(Deadline) {}

  /// Returns the instance to send to, and counts the write as sent. Empty
  /// when it is not waiting, its deadline has passed or there is no primary.
  std::optional<base::instance_id> trySend(const group_view &View,
                                           base::time_point Now);

  /// The connection failed. Waits again if no byte can have reached the
  /// instance, else the outcome is unknown.
  void connectionLost(bool MayHaveReached);

  /// The instance rolled the write back since it is no primary (any more).
  void refusedByInstance();

  /// Ends the write if its deadline has passed.
  void expire(base::time_point Now);

  [[nodiscard]] attempt_state state() const { return State; }
  [[nodiscard]] base::time_point deadline() const { return Deadline; }

  [[nodiscard]] base::json dump() const;

private:
  base::time_point Deadline;
  attempt_state State = attempt_state::Waiting;
};

} // namespace radishrelay::groups

#endif
