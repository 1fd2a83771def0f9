#ifndef RADISHRELAY_SESSIONS_DETAIL_STORE_WATCH_H
#define RADISHRELAY_SESSIONS_DETAIL_STORE_WATCH_H

#include "radishrelay/base/json.h"
#include "radishrelay/sessions/detail/watched_source.h"
#include "radishrelay/sessions/read_times.h"

#include <array>
#include <optional>

namespace radishrelay::sessions::detail {

/// Decides when this host reads the configuration and the list of instances
/// from the store.
///
/// Some hosts of each failure domain, the watchers, wait at the store for
/// changes and report the versions they know, and their age, to the other hosts
/// of the domain. Those read when a report names a newer version, or when no
/// report has confirmed their version for ConfirmationLifetime.
class store_watch {
public:
  /// Age of a confirmation after which a host reads by itself. With the time of
  /// the read it stays below the 3 s within which a new configuration has to be
  /// in force.
  static constexpr base::duration ConfirmationLifetime =
      std::chrono::milliseconds(2300);

  void setWatcher(bool Value) { IsWatcher = Value; }
  /// Sets whether a promotion of this host may need a current list, so that no
  /// call may wait for long.
  void setPromoting(bool Value) { IsPromoting = Value; }

  /// Returns how long a call that starts now is to wait for a change, zero for
  /// a plain read; empty if no call is due. At most one call per source is in
  /// progress.
  std::optional<base::duration> startCall(watched_source Source,
                                          base::time_point Now);
  /// Records that a call has returned \p State.
  void confirmed(watched_source Source, const source_state &State,
                 const read_times &Times, base::time_point Now);
  /// Records that a call has failed; the next one is delayed.
  void failed(watched_source Source, base::time_point Now);

  /// Requests a read of \p Source as soon as possible, for a decision that
  /// needs current data.
  void requestRead(watched_source Source) {
    sourceEntry(Source).IsReadRequested = true;
  }

  void receive(const watch_report &Report, base::time_point Now);
  /// Returns the report of this host to its failure domain, if this host is a
  /// watcher and a call has succeeded since the last report.
  std::optional<watch_report> takeReport(base::time_point Now);
  /// What this host knows of the store.
  [[nodiscard]] watch_report report(base::time_point Now) const;

  /// Whether the last call has failed.
  [[nodiscard]] bool isFailing(watched_source Source) const {
    return sourceEntry(Source).RetryDelay > base::duration::zero();
  }
  /// Whether the last successful read followed an outage of the store.
  [[nodiscard]] bool hadOutage(watched_source Source) const {
    return sourceEntry(Source).HadOutage;
  }
  /// Latest time at which the store is known to have held nothing newer than
  /// this host.
  [[nodiscard]] base::time_point confirmedAt(watched_source Source) const {
    return sourceEntry(Source).ConfirmedAt.value_or(base::time_point{});
  }
  /// Whether the source contains all entries of live instances. After an outage
  /// of the store, it takes them some time to report again.
  [[nodiscard]] bool isComplete(watched_source Source,
                                base::time_point Now) const;
  [[nodiscard]] base::time_point nextWake() const;
  [[nodiscard]] base::json dump() const;

private:
  struct source {
    source_state Known;
    /// Latest time at which the store is known to have held nothing newer than
    /// Known.
    std::optional<base::time_point> ConfirmedAt;
    /// Highest version named by a report.
    std::uint64_t ReportedVersion = 0;
    base::time_point NextTryAt;
    base::duration RetryDelay{};
    bool IsCalling = false;
    bool IsReadRequested = false;
    bool HadOutage = false;
    /// First confirmation after the last outage, or after the start.
    base::time_point OutageEndedAt;
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
  bool IsPromoting = false;
  bool HasUpdate = false;
};

} // namespace radishrelay::sessions::detail

#endif
