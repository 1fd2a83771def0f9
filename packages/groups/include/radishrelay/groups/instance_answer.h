#ifndef RADISHRELAY_GROUPS_INSTANCE_ANSWER_H
#define RADISHRELAY_GROUPS_INSTANCE_ANSWER_H

#include "radishrelay/groups/instance_call.h"
#include "radishrelay/groups/instance_status.h"

namespace radishrelay::groups {

/// Result of a call to an instance.
enum class call_outcome {
  Done,
  /// SQLSTATE 55000: a raise was not to a higher term than the raised one, or a
  /// promotion was for another term than the raised one.
  Refused,
  /// No answer arrived before the deadline, or the connection failed. A raise
  /// or promotion may have taken effect nevertheless.
  Failed,
};

/// Event: an instance_call has ended, or an instance returned its status along
/// with the result of a request.
struct instance_answer {
  /// The call that ended. The status in the answer counts until the call's
  /// deadline.
  instance_call Call;
  call_outcome Outcome = call_outcome::Failed;
  /// Set when the instance returned its status.
  std::optional<instance_status> Status;
  /// When the call was sent.
  base::time_point AskedAt;

  friend bool operator==(const instance_answer &,
                         const instance_answer &) = default;
};

} // namespace radishrelay::groups

#endif
