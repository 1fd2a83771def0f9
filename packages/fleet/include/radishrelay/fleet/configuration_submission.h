#ifndef RADISHRELAY_FLEET_CONFIGURATION_SUBMISSION_H
#define RADISHRELAY_FLEET_CONFIGURATION_SUBMISSION_H

#include "radishrelay/fleet/configuration_patch.h"

#include <string>

namespace radishrelay::fleet {

/// A patch submitted by an operator, with the data for its history record.
struct configuration_submission {
  /// Identifier chosen by the operator. A submission that is sent repeatedly
  /// under the same identifier takes effect once.
  std::string Id;
  std::string Author;
  std::string Reason;
  /// Wall-clock time in RFC 3339 format, for readers of the history.
  std::string Time;
  /// The version that the patch is based on (If-Match). If it is not the
  /// current one, the submission is rejected as a conflict.
  configuration_version ExpectedVersion = 0;
  configuration_patch Patch;

  friend bool operator==(const configuration_submission &,
                         const configuration_submission &) = default;
};

} // namespace radishrelay::fleet

#endif
