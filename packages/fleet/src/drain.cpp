#include "radishrelay/fleet/drain.h"

namespace radishrelay::fleet {

drain::drain(const drain_options &Options) : Options(Options) {}

drain_actions drain::start(base::time_point Now) {
  if (Stage != stage::Serving)
    return {};
  Stage = stage::WaitingForBalancer;
  BalancerDeadline = Now + Options.BalancerWait;
  return {disable_readiness{}};
}

bool drain::acceptsWork() const {
  return Stage == stage::Serving || Stage == stage::WaitingForBalancer;
}

drain_actions drain::tick(base::time_point Now) {
  drain_actions Actions;
  if (Stage == stage::WaitingForBalancer && Now >= BalancerDeadline) {
    Stage = stage::Finishing;
    HandOverDeadline = Now + Options.HandOverTimeout;
    WorkDeadline = Now + Options.WorkTimeout;
    Actions = {refuse_new_work{}, return_loans{}, transfer_shares{}};
  }
  stopIfFinished(Now, Actions);
  return Actions;
}

drain_actions drain::onRunning(std::size_t Count, base::time_point Now) {
  Running = Count;
  drain_actions Actions;
  stopIfFinished(Now, Actions);
  return Actions;
}

drain_actions drain::onHandedOver(base::time_point Now) {
  HandedOver = true;
  drain_actions Actions;
  stopIfFinished(Now, Actions);
  return Actions;
}

void drain::stopIfFinished(base::time_point Now, drain_actions &Actions) {
  if (Stage != stage::Finishing)
    return;
  bool WorkDone = Running == 0;
  bool WorkOverdue = Now >= WorkDeadline;
  bool HandOverDone = HandedOver || Now >= HandOverDeadline;
  if (!HandOverDone || (!WorkDone && !WorkOverdue))
    return;
  Stage = stage::Stopped;
  if (!WorkDone)
    Actions.push_back(abort_running_work{});
  Actions.push_back(stop_process{});
}

base::json drain::dump() const {
  constexpr const char *Names[] = {"serving", "waiting_for_balancer",
                                   "finishing", "stopped"};
  return {{"stage", Names[static_cast<std::size_t>(Stage)]},
          {"running", Running},
          {"handed_over", HandedOver}};
}

} // namespace radishrelay::fleet
