#ifndef RADISHRELAY_FLEET_CONFIGURATION_ERROR_H
#define RADISHRELAY_FLEET_CONFIGURATION_ERROR_H

#include "radishrelay/base/json.h"

#include <ostream>
#include <string>
#include <vector>

namespace radishrelay::fleet {

/// An error in a document or a patch.
struct configuration_error {
  /// Path of the faulty member, for example "routes[2].group" or
  /// "operations[0].burst".
  std::string Place;
  std::string Message;

  friend bool operator==(const configuration_error &,
                         const configuration_error &) = default;
  friend std::ostream &operator<<(std::ostream &Out,
                                  const configuration_error &Error) {
    return Out << Error.Place << ": " << Error.Message;
  }
};

using configuration_errors = std::vector<configuration_error>;

/// Formats the errors as [{"place","message"}].
base::json formatErrors(const configuration_errors &Errors);

} // namespace radishrelay::fleet

#endif
