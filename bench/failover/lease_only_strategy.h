#ifndef RADISHRELAY_BENCH_LEASE_ONLY_STRATEGY_H
#define RADISHRELAY_BENCH_LEASE_ONLY_STRATEGY_H

#include "radishrelay/groups/term_lease_strategy.h"

namespace radishrelay::bench {

/// The baseline: a commit is acknowledged at once, and a failover starts only
/// when the primary's lease has run out. The lease of three seconds, renewed
/// each second, is modelled as three missed probes with a period of a second.
class lease_only_strategy : public groups::term_lease_strategy {
public:
  [[nodiscard]] std::string_view name() const override { return "lease_only"; }
  [[nodiscard]] groups::write_verdict
  evaluate(const groups::committed_write &Write,
           const groups::status_table & /*Evidence*/,
           const groups::term_lease & /*Lease*/,
           base::time_point /*Now*/) const override {
    return {groups::write_state::Acknowledged, Write.Deadline};
  }
  [[nodiscard]] bool waitsForLeases() const override { return false; }
};

} // namespace radishrelay::bench

#endif
