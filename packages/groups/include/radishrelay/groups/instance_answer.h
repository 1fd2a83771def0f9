#ifndef RADISHRELAY_GROUPS_INSTANCE_ANSWER_H
#define RADISHRELAY_GROUPS_INSTANCE_ANSWER_H

#include "radishrelay/groups/instance_call.h"
#include "radishrelay/groups/instance_status.h"

namespace radishrelay::groups {

/// How a call to an instance ended.
enum class call_outcome {
  Done,
  /// SQLSTATE 55000: the term was lower than, equal to, or other than the
  /// raised one.
  Refused,
  /// No answer before the deadline, or the connection failed. A raise or a
  /// promotion may have taken effect.
  Failed,
};

/// Event: the end of an instance_call, or a status that came with other work.
struct instance_answer {
  /// The call that ended; its deadline limits the evidence.
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
