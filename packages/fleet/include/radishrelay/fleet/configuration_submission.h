#ifndef RADISHRELAY_FLEET_CONFIGURATION_SUBMISSION_H
#define RADISHRELAY_FLEET_CONFIGURATION_SUBMISSION_H

#include "radishrelay/fleet/configuration_patch.h"

#include <string>

namespace radishrelay::fleet {

/// A patch as an operator submits it.
struct configuration_submission {
  /// Chosen by the operator; a repetition takes effect once.
  std::string Id;
  std::string Author;
  std::string Reason;
  /// Wall-clock time in RFC 3339 format, for readers of the history.
  std::string Time;
  /// The version that the operator saw (If-Match).
  configuration_version ExpectedVersion = 0;
  configuration_patch Patch;

  friend bool operator==(const configuration_submission &,
                         const configuration_submission &) = default;
};

} // namespace radishrelay::fleet

#endif
