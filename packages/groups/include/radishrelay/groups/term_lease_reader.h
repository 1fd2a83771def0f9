#ifndef RADISHRELAY_GROUPS_TERM_LEASE_READER_H
#define RADISHRELAY_GROUPS_TERM_LEASE_READER_H

#include "radishrelay/base/json.h"
#include "radishrelay/groups/failover_options.h"
#include "radishrelay/groups/store_call_answer.h"
#include "radishrelay/groups/term_lease.h"

#include <algorithm>
#include <optional>

namespace radishrelay::groups {

/// Renews this host's term lease by reading the group's record. Each read
/// grants a lease on the term that it returns, so the hosts do not have to
/// agree on one lease holder. A promoter ends all leases by its conditional
/// write, after which no read returns the old term, and by waiting until the
/// leases have expired.
class term_lease_reader {
public:
  explicit term_lease_reader(const failover_options &Options)
      : Options(Options) {}

  /// Returns the read that is due at \p Now, if any.
  std::optional<store_call> advance(base::time_point Now);

  /// Makes the next read due at \p Now at the latest, for example after a
  /// change of term.
  void renew(base::time_point Now) { DueAt = std::min(DueAt, Now); }

  /// Returns the lease that \p Answer grants, if any. It may have expired
  /// already.
  [[nodiscard]] std::optional<term_lease>
  handle(const store_call_answer &Answer) const;

  [[nodiscard]] base::time_point nextWake() const { return DueAt; }

  [[nodiscard]] base::json dump() const;

private:
  failover_options Options;
  store_call_id LastCallId = 0;
  base::time_point DueAt;
  /// When the read LastCallId was requested.
  base::time_point AskedAt;
};

} // namespace radishrelay::groups

#endif
