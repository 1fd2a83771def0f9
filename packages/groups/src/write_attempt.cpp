#include "radishrelay/groups/write_attempt.h"

namespace radishrelay::groups {

std::optional<base::instance_id> write_attempt::trySend(const group_view &View,
                                                        base::time_point Now) {
  if (State != attempt_state::Waiting || Now >= Deadline || !View.Primary)
    return {};
  State = attempt_state::Sent;
  return View.Primary;
}

void write_attempt::connectionLost(bool MayHaveReached) {
  if (State == attempt_state::Sent)
    State = MayHaveReached ? attempt_state::Unknown : attempt_state::Waiting;
}

void write_attempt::refusedByInstance() {
  if (State == attempt_state::Sent)
    State = attempt_state::Waiting;
}

void write_attempt::expire(base::time_point Now) {
  if (Now < Deadline)
    return;
  if (State == attempt_state::Waiting)
    State = attempt_state::NotRun;
  else if (State == attempt_state::Sent)
    State = attempt_state::Unknown;
}

base::json write_attempt::dump() const {
  static constexpr const char *Names[] = {"waiting", "sent", "not_run",
                                          "unknown"};
  return {{"state", Names[static_cast<std::size_t>(State)]},
          {"deadline_us", base::toMicroseconds(Deadline)}};
}

} // namespace radishrelay::groups
