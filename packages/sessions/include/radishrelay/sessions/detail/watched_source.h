#ifndef RADISHRELAY_SESSIONS_DETAIL_WATCHED_SOURCE_H
#define RADISHRELAY_SESSIONS_DETAIL_WATCHED_SOURCE_H

#include "radishrelay/base/monotonic_clock.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace radishrelay::sessions::detail {

/// What hosts read from the store and watchers report on.
enum class watched_source { Catalog, Instances };

constexpr std::size_t WatchedSources = 2;

/// Name for logs and dumps.
constexpr std::string_view sourceName(watched_source Source) {
  return Source == watched_source::Catalog ? "configuration" : "instances";
}

/// What a host knows of a source.
struct source_state {
  /// Version up to which the source was read.
  std::uint64_t Version = 0;
  /// Version of the last change, or a later one.
  std::uint64_t ChangedVersion = 0;

  friend bool operator==(const source_state &, const source_state &) = default;
};

/// What a watcher tells of a source.
struct source_report {
  bool IsKnown = false;
  std::uint64_t ChangedVersion = 0;
  /// Nothing newer was at the store so long before the report was sent.
  base::duration Age{};

  friend bool operator==(const source_report &,
                         const source_report &) = default;
};

/// The report of a watcher to the hosts of its failure domain.
struct watch_report {
  std::array<source_report, WatchedSources> Sources;
  /// Digest of the hosts that the watcher counts.
  std::uint64_t HostsDigest = 0;
  /// Time since the watcher has read them.
  base::duration HostsAge{};

  friend bool operator==(const watch_report &, const watch_report &) = default;
};

} // namespace radishrelay::sessions::detail

#endif
