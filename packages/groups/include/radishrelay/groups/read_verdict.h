#ifndef RADISHRELAY_GROUPS_READ_VERDICT_H
#define RADISHRELAY_GROUPS_READ_VERDICT_H

#include "radishrelay/groups/log_position.h"

#include <system_error>
#include <variant>

namespace radishrelay::groups {

/// The result may be returned.
struct accept_result {
  /// To merge into the session.
  log_position Seen;

  friend bool operator==(const accept_result &,
                         const accept_result &) = default;
};

/// The result is not fresh enough; choose again with one more failed check.
struct choose_again {
  friend bool operator==(const choose_again &, const choose_again &) = default;
};

/// The result must not be returned and no instance has the position.
struct refuse_result {
  std::error_code Code;

  friend bool operator==(const refuse_result &,
                         const refuse_result &) = default;
};

using read_verdict = std::variant<accept_result, choose_again, refuse_result>;

} // namespace radishrelay::groups

#endif
