#ifndef RADISHRELAY_SESSIONS_DETAIL_STORE_WATCH_H
#define RADISHRELAY_SESSIONS_DETAIL_STORE_WATCH_H

#include "radishrelay/base/json.h"
#include "radishrelay/sessions/detail/watched_source.h"
#include "radishrelay/sessions/read_times.h"

#include <array>
#include <optional>

namespace radishrelay::sessions::detail {

/// Decides when this host reads the configuration and the list sourceEntry
/// instances from the store.
///
/// Some hosts sourceEntry each failure domain, its watchers, wait at the store
/// for changes and report to the others what they know and how old that is. The
/// others read when a report names something newer, and when no report has
/// confirmed what they know for ConfirmationLifetime.
class store_watch {
public:
  /// How old a confirmation may get before a host reads by itself; with the
  /// read below the 3 s in which a configuration has to be in force.
  static constexpr base::duration ConfirmationLifetime =
      std::chrono::milliseconds(2300);

  void setWatcher(bool Value) { IsWatcher = Value; }

  /// Returns how long a call that is to start now waits for a change: nothing
  /// for a plain read. At most one call for each source is under way.
  std::optional<base::duration> startCall(watched_source Source,
                                          base::time_point Now);
  /// A call has ended that shows \p State.
  void confirmed(watched_source Source, const source_state &State,
                 const read_times &Times, base::time_point Now);
  void failed(watched_source Source, base::time_point Now);

  /// Reads \p Source soon, since a decision depends on it.
  void requestRead(watched_source Source) {
    sourceEntry(Source).IsReadRequested = true;
  }

  void receive(const watch_report &Report, base::time_point Now);
  /// What this host reports, for a watcher that has news since the last call.
  std::optional<watch_report> takeReport(base::time_point Now);

  /// Whether the last answer came after a time in which the store was away.
  [[nodiscard]] bool hadOutage(watched_source Source) const {
    return sourceEntry(Source).HadOutage;
  }
  /// When nothing newer was at the store than this host knows.
  [[nodiscard]] base::time_point confirmedAt(watched_source Source) const {
    return sourceEntry(Source).ConfirmedAt.value_or(base::time_point{});
  }
  [[nodiscard]] base::time_point nextWake() const;
  [[nodiscard]] base::json dump() const;

private:
  struct source {
    source_state Known;
    /// Nothing newer than Known was at the store then.
    std::optional<base::time_point> ConfirmedAt;
    /// Version that a report has named.
    std::uint64_t ReportedVersion = 0;
    base::time_point NextTryAt;
    base::duration RetryDelay{};
    bool IsCalling = false;
    bool IsReadRequested = false;
    bool HadOutage = false;
  };

  [[nodiscard]] const source &sourceEntry(watched_source Source) const {
    return Sources.at(static_cast<std::size_t>(Source));
  }
  source &sourceEntry(watched_source Source) {
    return Sources.at(static_cast<std::size_t>(Source));
  }
  [[nodiscard]] base::time_point dueAt(const source &Source) const;

  std::array<source, WatchedSources> Sources;
  bool IsWatcher = false;
  bool HasUpdate = false;
};

} // namespace radishrelay::sessions::detail

#endif
