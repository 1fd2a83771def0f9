#ifndef RADISHRELAY_ACCOUNTS_ROW_CHANGE_TRACKER_H
#define RADISHRELAY_ACCOUNTS_ROW_CHANGE_TRACKER_H

#include "radishrelay/base/monotonic_clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace radishrelay::accounts {

/// Detects expired leases of other hosts by the clock of this host: a lease is
/// expired when its row has had the same incarnation and sequence number for a
/// given time.
class row_change_tracker {
public:
  /// Records the incarnation and sequence number of a row read at \p Now.
  void observe(const std::string &Name, std::uint64_t Incarnation,
               std::uint64_t Sequence, base::time_point Now) {
    auto [Entry, Inserted] =
        Seen.try_emplace(Name, observation{Incarnation, Sequence, Now});
    observation &Known = Entry->second;
    if (Known.Incarnation != Incarnation || Known.Sequence != Sequence)
      Known = {Incarnation, Sequence, Now};
  }

  /// True if the row observed under \p Name has not changed for \p Lease; false
  /// if it was never observed.
  [[nodiscard]] bool expired(const std::string &Name, base::duration Lease,
                             base::time_point Now) const {
    auto Found = Seen.find(Name);
    return Found != Seen.end() && Now >= Found->second.Since + Lease;
  }

private:
  struct observation {
    std::uint64_t Incarnation;
    std::uint64_t Sequence;
    base::time_point Since;
  };
  std::map<std::string, observation> Seen;
};

} // namespace radishrelay::accounts

#endif
