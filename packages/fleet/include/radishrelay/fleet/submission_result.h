#ifndef RADISHRELAY_FLEET_SUBMISSION_RESULT_H
#define RADISHRELAY_FLEET_SUBMISSION_RESULT_H

#include "radishrelay/base/failure.h"
#include "radishrelay/fleet/configuration_error.h"
#include "radishrelay/fleet/configuration_version.h"

namespace radishrelay::fleet {

/// Outcome of a submission of a configuration patch, with its HTTP status.
enum class submission_status {
  /// Stored, and acknowledged by a majority of the witnesses (200).
  Accepted,
  /// Stored, but too few witnesses answered before the deadline (202).
  StoredUnconfirmed,
  /// The submission expects another version than the current one (412).
  Conflict,
  /// The patch is not valid (422).
  Invalid,
  /// The store did not answer before the deadline (503).
  StoreUnavailable,
};

/// Whether a submission took effect in the store.
enum class submission_effect { No, Yes, Unknown };

/// Answer to a submission of a configuration patch.
struct submission_result {
  submission_status Status = submission_status::Invalid;
  submission_effect Ran = submission_effect::No;
  /// Version that the patch created; 0 if it did not take effect.
  configuration_version Version = 0;
  /// Current version; 0 if it is not known.
  configuration_version CurrentVersion = 0;
  configuration_errors Errors;
  /// Last failure of the store, if any.
  base::failure Failure;

  friend bool operator==(const submission_result &,
                         const submission_result &) = default;
};

/// HTTP status of \p Status.
int httpStatus(submission_status Status);

} // namespace radishrelay::fleet

#endif
