#include "radishrelay/sessions/detail/store_watch.h"

#include "radishrelay/base/store_version.h"

#include <algorithm>

namespace radishrelay::sessions::detail {

namespace {

/// Time for which a watcher's call waits for a change. Shorter than
/// ConfirmationLifetime, so that reads of an unchanged source confirm it in
/// time.
constexpr base::duration WatchWait = std::chrono::milliseconds(1700);
/// The same while this host promotes an instance, see
/// promotion::listNeededAt(): an attempt ends 3.5 s after its claim.
constexpr base::duration PromotionWait = std::chrono::milliseconds(300);
/// Minimum and maximum delay after a failed read; the delay doubles with each
/// failure. Calls that the store rejects are charged too.
constexpr base::duration MinRetryDelay = std::chrono::milliseconds(200);
constexpr base::duration MaxRetryDelay = std::chrono::milliseconds(1600);
/// Delay between two reads of a host that is not a watcher. Changes come in
/// bursts, as when instances start together, and one read then shows all of
/// them.
constexpr base::duration ReadInterval = std::chrono::milliseconds(700);
/// Time without a confirmation after which the entries of instances may have
/// expired: three of their report intervals less the delay of a report.
constexpr base::duration OutageThreshold = std::chrono::milliseconds(3000);
/// Time within which live instances report again after an outage, two seconds,
/// and the delay of a report.
constexpr base::duration ReturnPeriod = std::chrono::milliseconds(2500);

} // namespace

base::time_point store_watch::dueAt(const source &Source) const {
  if (Source.IsCalling)
    return base::time_point::max();
  bool IsBehind = Source.ReportedVersion > Source.Known.Version;
  if (IsWatcher || IsBehind || Source.IsReadRequested || !Source.ConfirmedAt)
    return Source.NextTryAt;
  return std::max(Source.NextTryAt, *Source.ConfirmedAt + ConfirmationLifetime);
}

std::optional<base::duration> store_watch::startCall(watched_source Source,
                                                     base::time_point Now) {
  source &State = sourceEntry(Source);
  if (Now < dueAt(State))
    return std::nullopt;
  State.IsCalling = true;
  State.IsReadRequested = false;
  bool IsFirst = !State.ConfirmedAt;
  bool IsFailing = State.RetryDelay > base::duration::zero();
  if (!IsWatcher || IsFirst || IsFailing)
    return base::duration::zero();
  return IsPromoting ? PromotionWait : WatchWait;
}

void store_watch::confirmed(watched_source Source, const source_state &State,
                            const read_times &Times, base::time_point Now) {
  source &Entry = sourceEntry(Source);
  // If the call waited in full without a change, the state was current at the
  // end of the wait; otherwise only at the time of the request.
  bool HasWaited = State.ChangedVersion == Entry.Known.ChangedVersion &&
                   State.Digest == Entry.Known.Digest &&
                   Now >= Times.SentAt + Times.Wait;
  base::time_point AsOf = HasWaited ? Times.SentAt + Times.Wait : Times.SentAt;
  Entry.IsCalling = false;
  // A store that was restored from a copy lacks entries as after an outage.
  bool IsRestored =
      Entry.ConfirmedAt &&
      base::historyOf(State.Version) > base::historyOf(Entry.Known.Version);
  Entry.HadOutage =
      IsRestored || Entry.RetryDelay > base::duration::zero() ||
      (Entry.ConfirmedAt && AsOf > *Entry.ConfirmedAt + OutageThreshold);
  Entry.RetryDelay = {};
  if (Entry.HadOutage || !Entry.ConfirmedAt)
    Entry.OutageEndedAt = AsOf;
  Entry.Known = State;
  Entry.ConfirmedAt = std::max(Entry.ConfirmedAt.value_or(AsOf), AsOf);
  Entry.NextTryAt = IsWatcher ? Now : Now + ReadInterval;
  HasUpdate = true;
}

void store_watch::failed(watched_source Source, base::time_point Now) {
  source &Entry = sourceEntry(Source);
  Entry.IsCalling = false;
  Entry.RetryDelay =
      std::clamp(Entry.RetryDelay * 2, MinRetryDelay, MaxRetryDelay);
  Entry.NextTryAt = Now + Entry.RetryDelay;
}

void store_watch::receive(const watch_report &Report, base::time_point Now) {
  for (std::size_t Index = 0; Index < WatchedSources; ++Index) {
    const source_report &Reported = Report.Sources.at(Index);
    source &Entry = Sources.at(Index);
    bool IsLost = base::historyOf(Reported.ChangedVersion) <
                  base::historyOf(Entry.Known.Version);
    if (!Reported.IsKnown || IsLost || Reported.Age < base::duration::zero())
      continue;
    if (Reported.ChangedVersion > Entry.Known.Version) {
      Entry.ReportedVersion =
          std::max(Entry.ReportedVersion, Reported.ChangedVersion);
    } else if (Entry.ConfirmedAt) {
      base::time_point AsOf = Now - Reported.Age;
      if (Reported.Digest != Entry.Known.Digest) {
        if (AsOf > *Entry.ConfirmedAt)
          Entry.IsReadRequested = true;
        continue;
      }
      if (AsOf > *Entry.ConfirmedAt + OutageThreshold)
        Entry.OutageEndedAt = AsOf;
      Entry.ConfirmedAt = std::max(*Entry.ConfirmedAt, AsOf);
    }
  }
}

bool store_watch::isComplete(watched_source Source,
                             base::time_point Now) const {
  const source &Entry = sourceEntry(Source);
  bool IsFailing = Entry.RetryDelay > base::duration::zero();
  return Entry.ConfirmedAt && !IsFailing &&
         Now >= Entry.OutageEndedAt + ReturnPeriod;
}

std::optional<watch_report> store_watch::takeReport(base::time_point Now) {
  if (!IsWatcher || !HasUpdate)
    return std::nullopt;
  HasUpdate = false;
  return report(Now);
}

watch_report store_watch::report(base::time_point Now) const {
  watch_report Report;
  for (std::size_t Index = 0; Index < WatchedSources; ++Index) {
    const source &Entry = Sources.at(Index);
    if (Entry.ConfirmedAt)
      Report.Sources.at(Index) = {true, Entry.Known.ChangedVersion,
                                  Now - *Entry.ConfirmedAt, Entry.Known.Digest};
  }
  return Report;
}

base::time_point store_watch::nextWake() const {
  base::time_point Wake = base::time_point::max();
  for (const source &Entry : Sources)
    Wake = std::min(Wake, dueAt(Entry));
  return Wake;
}

base::json store_watch::dump() const {
  base::json Result = base::json::object();
  Result["watcher"] = IsWatcher;
  for (std::size_t Index = 0; Index < WatchedSources; ++Index) {
    const source &Entry = Sources.at(Index);
    base::json &Fields =
        Result[std::string(sourceName(static_cast<watched_source>(Index)))];
    Fields["version"] = Entry.Known.Version;
    Fields["reported_version"] = Entry.ReportedVersion;
    if (Entry.ConfirmedAt)
      Fields["confirmed_at_us"] = base::toMicroseconds(*Entry.ConfirmedAt);
  }
  return Result;
}

} // namespace radishrelay::sessions::detail
