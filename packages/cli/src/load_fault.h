#ifndef RADISHRELAY_CLI_SRC_LOAD_FAULT_H
#define RADISHRELAY_CLI_SRC_LOAD_FAULT_H

#include "radishrelay/base/expected.h"
#include "radishrelay/base/monotonic_clock.h"

#include <cstdint>
#include <string>

namespace radishrelay::cli {

/// What a fault step acts on.
enum class fault_subject { Instance, Platform, Host, Key };

/// One step of a load run that injects or ends a fault.
struct load_fault {
  /// Time after the start of the run.
  base::duration At{};
  fault_subject Subject = fault_subject::Platform;
  /// Group, host, or ACCOUNT/KEY.
  std::string Target;
  std::size_t Instance = 0;
  /// Name of the fault, for example "kill" or "down".
  std::string Action;
  std::int64_t Milliseconds = 0;

  friend bool operator==(const load_fault &, const load_fault &) = default;
};

/// Parses one of "5s group=G instance=N kill|revive|cut|join|silence|
/// lose_commit_answer", "5s group=G instance=N lag|delay|service_time MS",
/// "5s platform none|down|slow|lose_answers|pause [MS]",
/// "5s host H kill|stop|cont|term|start" or "5s withdraw ACCOUNT/KEY"; the time
/// may also be in milliseconds ("500ms"). Fails at the step "parse fault".
base::expected<load_fault> parseLoadFault(const std::string &Text);

} // namespace radishrelay::cli

#endif
