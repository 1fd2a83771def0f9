#ifndef RADISHRELAY_SESSIONS_DETAIL_WATCHED_SOURCE_H
#define RADISHRELAY_SESSIONS_DETAIL_WATCHED_SOURCE_H

#include "radishrelay/base/monotonic_clock.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace radishrelay::sessions::detail {

/// Data that hosts read from the store and that watchers report on.
enum class watched_source { Catalog, Instances };

constexpr std::size_t WatchedSources = 2;

/// Name in logs and dumps.
constexpr std::string_view sourceName(watched_source Source) {
  return Source == watched_source::Catalog ? "configuration" : "instances";
}

/// Version of a source that a host has read.
struct source_state {
  /// Version of the store at which the source was read.
  std::uint64_t Version = 0;
  /// Version of the last change of the source, or a later one.
  std::uint64_t ChangedVersion = 0;
  /// Digest of what the source shows beside its version; 0 for nothing.
  std::uint64_t Digest = 0;

  friend bool operator==(const source_state &, const source_state &) = default;
};

/// Version and age of one source in a watcher's report.
struct source_report {
  bool IsKnown = false;
  std::uint64_t ChangedVersion = 0;
  /// Time between the last confirmation that the store held nothing newer and
  /// the sending of the report.
  base::duration Age{};
  /// See source_state.
  std::uint64_t Digest = 0;

  friend bool operator==(const source_report &,
                         const source_report &) = default;
};

/// A watcher's report to the other hosts of its failure domain.
struct watch_report {
  std::array<source_report, WatchedSources> Sources;
  /// Digest of the members of the fleet known to the watcher.
  std::uint64_t HostsDigest = 0;
  /// Time since the watcher read the members table.
  base::duration HostsAge{};

  friend bool operator==(const watch_report &, const watch_report &) = default;
};

/// The version of the configuration that the sender of \p Report uses, if any.
inline std::optional<std::uint64_t> catalogVersion(const watch_report &Report) {
  const source_report &Source =
      Report.Sources.at(static_cast<std::size_t>(watched_source::Catalog));
  return Source.IsKnown ? std::optional(Source.ChangedVersion) : std::nullopt;
}

} // namespace radishrelay::sessions::detail

#endif
