#ifndef RADISHRELAY_GROUPS_TERM_LEASE_READER_H
#define RADISHRELAY_GROUPS_TERM_LEASE_READER_H

#include "radishrelay/base/json.h"
#include "radishrelay/groups/failover_options.h"
#include "radishrelay/groups/store_call_answer.h"
#include "radishrelay/groups/term_lease.h"

#include <algorithm>
#include <optional>

namespace radishrelay::groups {

/// Renews this host's term lease by reading the group's record. Each read is a
/// lease on the term it shows, so the hosts need no common lease holder, and a
/// promoter ends all leases by its conditional write and a wait.
class term_lease_reader {
public:
  explicit term_lease_reader(const failover_options &Options)
      : Options(Options) {}

  /// Returns the read that is due, if any.
  std::optional<store_call> advance(base::time_point Now);

  /// Makes a read due at once, for example after a change of term.
  void renew(base::time_point Now) { DueAt = std::min(DueAt, Now); }

  /// Returns the lease that the answer gives, if any; it may have ended.
  [[nodiscard]] std::optional<term_lease>
  handle(const store_call_answer &Answer) const;

  [[nodiscard]] base::time_point nextWake() const { return DueAt; }

  [[nodiscard]] base::json dump() const;

private:
  failover_options Options;
  store_call_id LastCallId = 0;
  base::time_point DueAt;
  /// When the read LastCallId was asked for.
  base::time_point AskedAt;
};

} // namespace radishrelay::groups

#endif
