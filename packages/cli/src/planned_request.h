#ifndef RADISHRELAY_CLI_SRC_PLANNED_REQUEST_H
#define RADISHRELAY_CLI_SRC_PLANNED_REQUEST_H

#include "radishrelay/base/monotonic_clock.h"

#include <cstddef>
#include <cstdint>

namespace radishrelay::cli {

/// What a request of the load does.
enum class request_kind {
  /// Accepts data of a stated age, so that a replica may answer.
  Read,
  /// Accepts no stale data.
  StrictRead,
  Write,
  /// A write with an idempotency key, sent again after an unknown outcome.
  KeyedWrite,
};

/// An arrival of the load.
struct planned_request {
  std::uint64_t Number = 0;
  /// Intended start, after the start of the run.
  base::duration At{};
  std::size_t Account = 0;
  std::size_t Session = 0;
  std::size_t Group = 0;
  std::size_t Host = 0;
  request_kind Kind = request_kind::Read;

  friend bool operator==(const planned_request &,
                         const planned_request &) = default;
};

inline bool isRead(request_kind Kind) {
  return Kind == request_kind::Read || Kind == request_kind::StrictRead;
}

} // namespace radishrelay::cli

#endif
