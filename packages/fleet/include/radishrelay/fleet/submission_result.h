#ifndef RADISHRELAY_FLEET_SUBMISSION_RESULT_H
#define RADISHRELAY_FLEET_SUBMISSION_RESULT_H

#include "radishrelay/base/failure.h"
#include "radishrelay/fleet/configuration_error.h"
#include "radishrelay/fleet/configuration_version.h"

namespace radishrelay::fleet {

/// How a submission ended.
enum class submission_status {
  /// Stored and held by a majority of the witnesses (200).
  Accepted,
  /// Stored; too few witnesses answered before the deadline (202).
  StoredUnconfirmed,
  /// The expected version is not the current one (412).
  Conflict,
  /// The patch is not valid (422).
  Invalid,
  /// The store did not answer before the deadline (503).
  StoreUnavailable,
};

/// Whether a submission took effect.
enum class submission_effect { No, Yes, Unknown };

/// The answer to a submission.
struct submission_result {
  submission_status Status = submission_status::Invalid;
  submission_effect Ran = submission_effect::No;
  /// The version that the patch led to; 0 if it did not take effect.
  configuration_version Version = 0;
  /// The current version, where it is known.
  configuration_version CurrentVersion = 0;
  configuration_errors Errors;
  /// The last failure of the store.
  base::failure Failure;

  friend bool operator==(const submission_result &,
                         const submission_result &) = default;
};

/// HTTP status of \p Status.
int httpStatus(submission_status Status);

} // namespace radishrelay::fleet

#endif
