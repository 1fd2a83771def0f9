#ifndef RADISHRELAY_ACCOUNTS_LIMIT_PHASES_H
#define RADISHRELAY_ACCOUNTS_LIMIT_PHASES_H

#include "radishrelay/accounts/limits_configuration.h"
#include "radishrelay/base/json.h"
#include "radishrelay/base/monotonic_clock.h"

#include <optional>
#include <vector>

namespace radishrelay::accounts {

/// The limits that a host may use while a new configuration is distributed.
///
/// Other hosts may still use the previous configuration. So each value is the
/// minimum over both configurations until the new one is in force everywhere.
/// This time is called a phase and lasts timing::ConfigurationPhase.
class limit_phases {
public:
  /// Adds a configuration. Returns false, and ignores it, unless its version
  /// is higher than the current one.
  bool adopt(limits_configuration Configuration, base::time_point Now);

  /// True once a configuration was adopted.
  [[nodiscard]] bool hasConfiguration() const { return !Phases.empty(); }

  /// Removes the configurations whose phase has ended.
  void advance(base::time_point Now);

  /// True once the host has known its first configuration for a whole phase.
  /// Until then it may not use shares, because it does not know the previous
  /// configuration.
  [[nodiscard]] bool settled(base::time_point Now) const;

  /// Rate and burst of an account, each the minimum over the current phases.
  /// Empty if the newest configuration does not contain the account.
  [[nodiscard]] std::optional<account_limits>
  limitsOf(const base::account_id &Account) const;

  /// Share of every limit that one slot entitles to: the minimum over the
  /// current phases.
  [[nodiscard]] millionths floorSharePerSlot() const;

  /// Share of every limit that is left for leased shares while the slots
  /// \p Claimed have rows: the minimum over the current phases.
  [[nodiscard]] millionths
  leasableShare(const std::vector<std::int64_t> &Claimed) const;

  /// Number of slots that may be claimed: the minimum over the current phases.
  [[nodiscard]] std::int64_t slotCount() const;

  /// The configuration of the highest version. Requires hasConfiguration().
  [[nodiscard]] const limits_configuration &newest() const;

  [[nodiscard]] base::json dump() const;

private:
  struct phase {
    limits_configuration Configuration;
    /// End of the phase; time_point::max() for the newest configuration.
    base::time_point Until;
  };

  /// Sorted by version; the newest is last.
  std::vector<phase> Phases;
  std::optional<base::time_point> SettledAt;
};

} // namespace radishrelay::accounts

#endif
