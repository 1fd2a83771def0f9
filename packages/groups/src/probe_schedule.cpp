#include "radishrelay/groups/probe_schedule.h"

#include <algorithm>

namespace radishrelay::groups {

probe_schedule::probe_schedule(const failover_options &Options)
    : Options(Options) {
  for (const base::instance_id &Instance : Options.Instances)
    Probes[Instance];
}

bool probe_schedule::finish(const instance_answer &Answer,
                            base::time_point Now) {
  auto Probe = Probes.find(Answer.Call.Instance);
  if (Probe == Probes.end() || Answer.Call.Kind != call_kind::Status)
    return false;
  probe_state &State = Probe->second;
  if (State.Deadline != Answer.Call.Deadline || Now >= *State.Deadline)
    return false;
  State.Deadline.reset();
  State.HasFailed = Answer.Outcome != call_outcome::Done;
  return true;
}

std::vector<base::instance_id> probe_schedule::expire(base::time_point Now) {
  std::vector<base::instance_id> Expired;
  for (auto &[Instance, State] : Probes) {
    if (!State.Deadline || Now < *State.Deadline)
      continue;
    State.Deadline.reset();
    State.HasFailed = true;
    Expired.push_back(Instance);
  }
  return Expired;
}

base::time_point probe_schedule::dueAt(const probe_state &State,
                                       bool Urgent) const {
  if (State.LastStart == base::time_point::min())
    return State.LastStart;
  bool IsShort = Urgent || State.HasFailed;
  return State.LastStart +
         (IsShort ? Options.UrgentProbeInterval : Options.ProbeInterval);
}

std::vector<instance_call> probe_schedule::start(bool Urgent,
                                                 base::time_point Now) {
  std::vector<instance_call> Calls;
  for (auto &[Instance, State] : Probes) {
    if (State.Deadline || Now < dueAt(State, Urgent))
      continue;
    State.LastStart = Now;
    State.Deadline = Now + Options.ProbeTimeout;
    Calls.push_back({Instance, call_kind::Status, 0, *State.Deadline});
  }
  return Calls;
}

base::time_point probe_schedule::nextWake(bool Urgent) const {
  base::time_point Wake = base::time_point::max();
  for (const auto &[Instance, State] : Probes)
    Wake = std::min(Wake, State.Deadline.value_or(dueAt(State, Urgent)));
  return Wake;
}

base::json probe_schedule::dump() const {
  base::json Object = base::json::object();
  for (const auto &[Instance, State] : Probes)
    Object[Instance.str()] = {{"under_way", State.Deadline.has_value()},
                              {"last_failed", State.HasFailed}};
  return Object;
}

} // namespace radishrelay::groups
