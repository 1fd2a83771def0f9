#ifndef RADISHRELAY_GROUPS_QUEUE_ADMISSION_H
#define RADISHRELAY_GROUPS_QUEUE_ADMISSION_H

#include "radishrelay/base/monotonic_clock.h"

#include <variant>

namespace radishrelay::groups {

/// The request was queued.
struct admitted_to_queue {
  base::time_point ExpectedStart;

  friend bool operator==(const admitted_to_queue &,
                         const admitted_to_queue &) = default;
};

/// The request was refused because it would miss its deadline or because the
/// queue is full; it did not run.
struct refused_by_queue {
  /// Estimated time from which a retry may be admitted.
  base::time_point RetryAt;

  friend bool operator==(const refused_by_queue &,
                         const refused_by_queue &) = default;
};

using queue_admission = std::variant<admitted_to_queue, refused_by_queue>;

} // namespace radishrelay::groups

#endif
