#ifndef RADISHRELAY_GROUPS_WRITE_ATTEMPT_H
#define RADISHRELAY_GROUPS_WRITE_ATTEMPT_H

#include "radishrelay/base/json.h"
#include "radishrelay/groups/group_view.h"

namespace radishrelay::groups {

/// State of a write before its commit answer.
enum class attempt_state {
  /// No byte can have reached an instance, or the instance rolled the write
  /// back.
  Waiting,
  /// A byte may have reached an instance.
  Sent,
  /// Ended: refused with the code no_primary, ran=no.
  NotRun,
  /// Ended: answered with the code outcome_unknown.
  Unknown,
};

/// One write from its arrival to its commit answer. Determines the instance to
/// which the write may be sent, and the outcome to report if no commit answer
/// arrives. A write is reported as not run only if it cannot have taken effect
/// on an instance.
class write_attempt {
public:
  explicit write_attempt(base::time_point Deadline) : Deadline(Deadline) {}

  /// Returns the instance to which the caller must send the write now, and
  /// changes the state to Sent. Returns nothing when the write is not waiting,
  /// its deadline has passed or \p View has no primary.
  std::optional<base::instance_id> trySend(const group_view &View,
                                           base::time_point Now);

  /// Called when the connection has failed. The write waits again if no byte
  /// can have reached the instance; otherwise its outcome is unknown.
  void connectionLost(bool MayHaveReached);

  /// Called when the instance rolled the write back because it is not, or is no
  /// longer, the primary. The write waits again.
  void refusedByInstance();

  /// Ends the write if its deadline has passed: as not run if it is waiting,
  /// with an unknown outcome if it was sent.
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
