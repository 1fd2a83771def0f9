#include "radishrelay/groups/replication_progress.h"

#include <algorithm>
#include <cmath>

namespace radishrelay::groups {

namespace {

/// Weights of a new sample in the smoothed delay and its deviation, as for the
/// retransmission timer of TCP (RFC 6298).
constexpr double DelayWeight = 1.0 / 8;
constexpr double DeviationWeight = 1.0 / 4;
/// A replica that should have reached a position already is expected to reach
/// it this fraction of its delay after it was last seen behind.
constexpr double OverdueDelayFraction = 1.0 / 4;

base::time_point midpoint(base::time_point Left, base::time_point Right) {
  return Left + (Right - Left) / 2;
}

base::duration microseconds(double Count) {
  return base::duration(std::llround(Count));
}

} // namespace

void replication_progress::observePrimary(const log_position &Position,
                                          base::time_point At) {
  if (!PrimarySamples.empty() &&
      Position.Term > PrimarySamples.back().Position.Term)
    PrimarySamples.clear();
  bool HasAdvanced =
      PrimarySamples.empty() || (Position > PrimarySamples.back().Position &&
                                 At >= PrimarySamples.back().At);
  if (HasAdvanced) {
    PrimarySamples.push_back({Position, At});
    return;
  }
  // While the log is idle, a second sample of the same position is moved
  // forward: it is a lower bound of the time of the next entry.
  bool IsIdle = Position == PrimarySamples.back().Position &&
                At > PrimarySamples.back().At;
  bool HasPair = PrimarySamples.size() > 1 &&
                 PrimarySamples[PrimarySamples.size() - 2].Position == Position;
  if (IsIdle && HasPair)
    PrimarySamples.back().At = At;
  else if (IsIdle)
    PrimarySamples.push_back({Position, At});
}

void replication_progress::observeReplica(const base::instance_id &Instance,
                                          const log_position &Position,
                                          base::time_point At) {
  auto [Entry, IsNew] =
      Replicas.try_emplace(Instance, replica_progress{Position, At, {}, 0});
  replica_progress &Replica = Entry->second;
  if (IsNew || At <= Replica.At)
    return;
  if (Position > Replica.Position)
    sampleDelay(Replica, Position, At);
  Replica.Position = Position;
  Replica.At = At;
}

void replication_progress::forget(const base::instance_id &Instance) {
  Replicas.erase(Instance);
}

void replication_progress::sampleDelay(replica_progress &Replica,
                                       const log_position &Position,
                                       base::time_point At) {
  std::optional<base::time_point> PrimaryReachedAt = primaryReachedAt(Position);
  if (!PrimaryReachedAt || Position < PrimarySamples.front().Position)
    return;
  base::time_point Arrived = midpoint(Replica.At, At);
  // A replica that is probed rarely may have reached the position long before
  // it was seen there.
  Arrived = std::max(Arrived, *PrimaryReachedAt);
  auto Sample = static_cast<double>((Arrived - *PrimaryReachedAt).count());
  if (!Replica.DelayUs) {
    Replica.DelayUs = Sample;
    Replica.DeviationUs = Sample / 2;
    return;
  }
  double Error = std::abs(Sample - *Replica.DelayUs);
  Replica.DeviationUs += DeviationWeight * (Error - Replica.DeviationUs);
  *Replica.DelayUs += DelayWeight * (Sample - *Replica.DelayUs);
}

std::optional<base::time_point>
replication_progress::primaryReachedAt(const log_position &Position) const {
  auto IsBelow = [&](const primary_sample &Sample) {
    return Sample.Position.Offset < Position.Offset;
  };
  auto After = std::partition_point(PrimarySamples.begin(),
                                    PrimarySamples.end(), IsBelow);
  if (After == PrimarySamples.end())
    return std::nullopt;
  if (After == PrimarySamples.begin())
    return After->At;
  return midpoint(std::prev(After)->At, After->At);
}

std::optional<base::time_point>
replication_progress::expectedAt(const base::instance_id &Instance,
                                 const log_position &Position,
                                 base::time_point Now) const {
  auto Entry = Replicas.find(Instance);
  if (Entry == Replicas.end() || !Entry->second.DelayUs)
    return std::nullopt;
  const replica_progress &Replica = Entry->second;
  base::time_point PrimaryReachedAt =
      std::min(primaryReachedAt(Position).value_or(Now), Now);
  double Delay = *Replica.DelayUs + Replica.DeviationUs;
  base::time_point Expected = PrimaryReachedAt + microseconds(Delay);
  // A replica may report a newer term before it holds the entries of the older
  // ones, so the offset counts as well as the term.
  if (Replica.Position.Term >= Position.Term &&
      Replica.Position.Offset >= Position.Offset)
    return std::min(Expected, Replica.At);
  return std::max(Expected,
                  Replica.At + microseconds(Delay * OverdueDelayFraction));
}

base::json replication_progress::dump() const {
  base::json Dump = base::json::object();
  Dump["primary_samples"] = PrimarySamples.size();
  Dump["replicas"] = base::json::object();
  for (const auto &[Instance, Replica] : Replicas) {
    base::json Item = base::json::object();
    Item["position"] = Replica.Position.Offset;
    Item["delay_us"] = nullptr;
    if (Replica.DelayUs)
      Item["delay_us"] = std::llround(*Replica.DelayUs);
    Item["deviation_us"] = std::llround(Replica.DeviationUs);
    Dump["replicas"][Instance.str()] = Item;
  }
  return Dump;
}

} // namespace radishrelay::groups
