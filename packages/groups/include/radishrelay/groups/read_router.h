#ifndef RADISHRELAY_GROUPS_READ_ROUTER_H
#define RADISHRELAY_GROUPS_READ_ROUTER_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/json.h"
#include "radishrelay/groups/instance_status.h"
#include "radishrelay/groups/read_decision.h"
#include "radishrelay/groups/read_request.h"
#include "radishrelay/groups/read_router_options.h"
#include "radishrelay/groups/read_verdict.h"
#include "radishrelay/groups/replication_progress.h"
#include "radishrelay/groups/term_history.h"

#include <map>
#include <optional>

namespace radishrelay::groups {

/// Chooses the instance of one database group that runs a read, and checks the
/// result against the status query that ran before the read in the same
/// pipeline.
///
/// The choice may use estimates. The check uses only reported statuses, so a
/// wrong estimate costs time but never returns stale data.
class read_router {
public:
  explicit read_router(read_router_options Options = {});

  /// Adds an instance, or changes the network round-trip time to it.
  void setInstance(const base::instance_id &Instance,
                   base::duration RoundTripTime);
  void removeInstance(const base::instance_id &Instance);
  /// Sets whether an instance is leaving the group. A leaving instance gets no
  /// new reads.
  void setLeaving(const base::instance_id &Instance, bool IsLeaving);
  /// Sets the load of an instance: \p Queue requests run or wait ahead of a new
  /// one, with a mean service time of \p MeanService.
  void setLoad(const base::instance_id &Instance, std::size_t Queue,
               base::duration MeanService);

  /// Records the status of an instance. A status that was requested no later
  /// than the recorded one is ignored.
  void observe(const base::instance_id &Instance,
               const status_evidence &Evidence);
  /// Records that an acknowledged write ended at \p Position of the log.
  void observeWrite(const log_position &Position, base::time_point At);
  /// Discards the status of an instance whose connection failed.
  void observeFailure(const base::instance_id &Instance);

  [[nodiscard]] read_decision choose(const read_request &Request,
                                     base::time_point Now) const;

  /// Decides whether the result of a read may be returned. The read ran on
  /// \p Instance after the status query that returned \p Evidence, in the same
  /// pipeline. \p IsConfirmed tells whether a majority has confirmed the term
  /// after the read was sent.
  [[nodiscard]] read_verdict check(const read_request &Request,
                                   const base::instance_id &Instance,
                                   const status_evidence &Evidence,
                                   bool IsConfirmed,
                                   base::time_point Now) const;

  [[nodiscard]] base::json dump() const;

private:
  struct instance_state {
    base::duration RoundTripTime{};
    bool IsLeaving = false;
    std::size_t Queue = 0;
    base::duration MeanService{};
    std::optional<status_evidence> Evidence;
  };

  struct candidate {
    base::instance_id Instance;
    instance_role Role;
    base::duration Wait;
    base::duration Cost;
  };

  [[nodiscard]] bool isUsable(const base::instance_id &Instance,
                              const instance_state &State,
                              const read_request &Request,
                              base::time_point Now) const;
  [[nodiscard]] std::optional<candidate>
  assess(const base::instance_id &Instance, const instance_state &State,
         const read_request &Request, base::time_point Now) const;
  [[nodiscard]] std::optional<base::duration>
  expectedWait(const base::instance_id &Instance, const instance_state &State,
               const read_request &Request, base::time_point Now) const;
  [[nodiscard]] bool meetsMaxAge(const status_evidence &Evidence,
                                 const read_request &Request,
                                 base::time_point Now) const;
  [[nodiscard]] std::optional<base::time_point>
  termConfirmedAt(term_number Term) const;
  [[nodiscard]] term_number highestTerm() const;
  [[nodiscard]] read_decision chooseFallback(const read_request &Request,
                                             base::time_point Now) const;
  [[nodiscard]] bool isHistoryLost(const read_request &Request) const;

  read_router_options Options;
  std::map<base::instance_id, instance_state> Instances;
  replication_progress Progress;
};

} // namespace radishrelay::groups

#endif
