#ifndef RADISHRELAY_SESSIONS_DETAIL_EVACUATIONS_H
#define RADISHRELAY_SESSIONS_DETAIL_EVACUATIONS_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/json.h"
#include "radishrelay/base/monotonic_clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace radishrelay::sessions::detail {

/// The failure domains whose instances the operators want to get no work.
///
/// Work that other instances can do leaves an evacuated domain at once. Work
/// that only an instance there can do goes on until the domain is closed, so
/// that a primary can be replaced and transactions can end.
///
/// A store that was restored from a copy may lack an evacuation until the
/// operators have written it again, so domains known before stay evacuated for
/// ReturnPeriod.
class evacuations {
public:
  /// Time within which a restored store gets back what the operators wrote.
  static constexpr base::duration ReturnPeriod =
      std::chrono::milliseconds(2500);

  /// \p UsePeriod is the time from the operators' request within which a
  /// statement may still be sent.
  explicit evacuations(base::duration UsePeriod) : UsePeriod(UsePeriod) {}

  /// What has changed since the last call.
  struct changes {
    std::set<base::failure_domain_id> Evacuated;
    std::set<base::failure_domain_id> Closed;
    std::set<base::failure_domain_id> TakenBack;

    [[nodiscard]] bool isEmpty() const {
      return Evacuated.empty() && Closed.empty() && TakenBack.empty();
    }
  };

  /// Records the domains that a read of the store has shown, and the history of
  /// the store. \p ConfirmedAt is the latest time at which the domains read
  /// before were known to be current; empty before the first read.
  void recordRead(const std::set<base::failure_domain_id> &Read,
                  std::uint64_t History,
                  std::optional<base::time_point> ConfirmedAt,
                  base::time_point Now);
  /// Closes the domains that are due and returns all changes.
  changes advance(base::time_point Now);
  [[nodiscard]] base::time_point nextWake() const;

  [[nodiscard]] bool isEvacuated(const base::failure_domain_id &Domain) const {
    return Domains.contains(Domain);
  }
  /// Whether nothing at all may be sent to the instances of \p Domain.
  [[nodiscard]] bool isClosed(const base::failure_domain_id &Domain) const;
  [[nodiscard]] std::set<base::failure_domain_id> evacuated() const;
  [[nodiscard]] std::set<base::failure_domain_id> closed() const;
  /// Digest of the domains that the last read has shown; 0 if there are none.
  [[nodiscard]] std::uint64_t digest() const { return Digest; }

  /// Records that a statement was sent to an instance of \p Domain.
  void recordStatement(const base::failure_domain_id &Domain,
                       base::time_point Now);
  /// Time of the last statement that was sent to \p Domain since it was
  /// evacuated.
  [[nodiscard]] std::optional<base::time_point>
  lastStatementAt(const base::failure_domain_id &Domain) const;
  [[nodiscard]] base::json dump() const;

private:
  struct evacuated_domain {
    /// When work that only this domain can do must end.
    base::time_point ClosesAt;
    bool IsClosed = false;
    /// Until when the domain stays evacuated although the store does not show
    /// it.
    std::optional<base::time_point> RetainedUntil;
    std::optional<base::time_point> LastStatementAt;
  };

  void takeBack(const base::failure_domain_id &Domain);

  base::duration UsePeriod;
  std::map<base::failure_domain_id, evacuated_domain> Domains;
  std::uint64_t Digest = 0;
  /// History of the store that was read last.
  std::optional<std::uint64_t> LastHistory;
  changes Changes;
};

} // namespace radishrelay::sessions::detail

#endif
