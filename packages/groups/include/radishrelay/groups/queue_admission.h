#ifndef RADISHRELAY_GROUPS_QUEUE_ADMISSION_H
#define RADISHRELAY_GROUPS_QUEUE_ADMISSION_H

#include "radishrelay/base/monotonic_clock.h"

#include <variant>

namespace radishrelay::groups {

/// The request waits.
struct admitted_to_queue {
  base::time_point ExpectedStart;

  friend bool operator==(const admitted_to_queue &,
                         const admitted_to_queue &) = default;
};

/// The request would miss its deadline or the queue is full; it did not run.
struct refused_by_queue {
  /// When a request would have been admitted, as far as can be estimated.
  base::time_point RetryAt;

  friend bool operator==(const refused_by_queue &,
                         const refused_by_queue &) = default;
};

using queue_admission = std::variant<admitted_to_queue, refused_by_queue>;

} // namespace radishrelay::groups

#endif
