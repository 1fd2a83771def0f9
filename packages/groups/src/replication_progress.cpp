#include "radishrelay/groups/replication_progress.h"

#include <algorithm>
#include <cmath>

namespace radishrelay::groups {

namespace {

/// Weights of a new sample, as in the retransmission timer of TCP (RFC 6298).
constexpr double DelayWeight = 1.0 / 8;
constexpr double DeviationWeight = 1.0 / 4;
/// An overdue replica is expected this part of its delay after it was last
/// seen behind.
constexpr double OverdueDelayPart = 1.0 / 4;

base::time_point midpoint(base::time_point Left, base::time_point Right) {
  return Left + (Right - Left) / 2;
}

base::duration microseconds(double Count) {
  return base::duration(std::llround(Count));
}

} // namespace

void replication_progress::observePrimary(const log_position &Position,
                                          base::time_point At) {
  if (!Primary.empty() && Position.Term > Primary.back().Position.Term)
    Primary.clear();
  bool IsNews = Primary.empty() ||
                (Position > Primary.back().Position && At >= Primary.back().At);
  if (IsNews) {
    Primary.push_back({Position, At});
    return;
  }
  // The end of an idle period bounds the time of the next entry from below.
  bool IsIdle = Position == Primary.back().Position && At > Primary.back().At;
  bool HasPair =
      Primary.size() > 1 && Primary[Primary.size() - 2].Position == Position;
  if (IsIdle && HasPair)
    Primary.back().At = At;
  else if (IsIdle)
    Primary.push_back({Position, At});
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
  std::optional<base::time_point> Passed = passedAt(Position);
  if (!Passed || Position < Primary.front().Position)
    return;
  base::time_point Arrived = midpoint(Replica.At, At);
  // A replica that was seen rarely may have been up to date for long.
  Arrived = std::max(Arrived, *Passed);
  auto Sample = static_cast<double>((Arrived - *Passed).count());
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
replication_progress::passedAt(const log_position &Position) const {
  auto IsBelow = [&](const primary_sample &Sample) {
    return Sample.Position.Offset < Position.Offset;
  };
  auto After = std::partition_point(Primary.begin(), Primary.end(), IsBelow);
  if (After == Primary.end())
    return std::nullopt;
  if (After == Primary.begin())
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
  base::time_point Passed = std::min(passedAt(Position).value_or(Now), Now);
  double Delay = *Replica.DelayUs + Replica.DeviationUs;
  base::time_point Expected = Passed + microseconds(Delay);
  // A replica may follow a newer term before it holds the older entries.
  if (Replica.Position.Term >= Position.Term &&
      Replica.Position.Offset >= Position.Offset)
    return std::min(Expected, Replica.At);
  return std::max(Expected,
                  Replica.At + microseconds(Delay * OverdueDelayPart));
}

base::json replication_progress::dump() const {
  base::json Dump = base::json::object();
  Dump["primary_samples"] = Primary.size();
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
