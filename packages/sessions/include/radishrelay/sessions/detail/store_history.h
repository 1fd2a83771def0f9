#ifndef RADISHRELAY_SESSIONS_DETAIL_STORE_HISTORY_H
#define RADISHRELAY_SESSIONS_DETAIL_STORE_HISTORY_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/base/store_version.h"

#include <optional>

namespace radishrelay::sessions::detail {

/// The latest history of the store that this host has seen; see
/// base::versionIn.
class store_history {
public:
  /// Records an answer of the store with \p Version. Returns true if the
  /// version belongs to a later history than all before, or is the first.
  bool observe(base::row_version Version, base::time_point Now) {
    std::uint64_t Seen = base::historyOf(Version);
    if (FirstSeenAt && Seen <= Current)
      return false;
    Current = Seen;
    FirstSeenAt = Now;
    return true;
  }

  [[nodiscard]] std::uint64_t current() const { return Current; }
  /// When this host first saw the current history; empty before any answer.
  [[nodiscard]] std::optional<base::time_point> firstSeenAt() const {
    return FirstSeenAt;
  }

private:
  std::uint64_t Current = 0;
  std::optional<base::time_point> FirstSeenAt;
};

} // namespace radishrelay::sessions::detail

#endif
