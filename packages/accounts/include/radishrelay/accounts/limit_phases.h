#ifndef RADISHRELAY_ACCOUNTS_LIMIT_PHASES_H
#define RADISHRELAY_ACCOUNTS_LIMIT_PHASES_H

#include "radishrelay/accounts/limits_configuration.h"
#include "radishrelay/base/json.h"
#include "radishrelay/base/monotonic_clock.h"

#include <optional>
#include <vector>

namespace radishrelay::accounts {

/// The limits in force on a host while a new configuration spreads.
///
/// Other hosts may still use the previous configuration, so each value stays
/// within the smaller of the two until the new one is in force everywhere.
class limit_phases {
public:
  /// Takes a configuration with a version above the current one; returns
  /// false otherwise.
  bool adopt(limits_configuration Configuration, base::time_point Now);

  /// True once there is a configuration.
  [[nodiscard]] bool hasConfiguration() const { return !Phases.empty(); }

  /// Drops the configurations whose phase has ended.
  void advance(base::time_point Now);

  /// True once the host has known its first configuration for a whole phase.
  /// Until then it may not use shares: it does not know what preceded.
  [[nodiscard]] bool settled(base::time_point Now) const;

  /// Rate and burst of an account: the smallest in the phase. Empty when the
  /// newest configuration does not have the account.
  [[nodiscard]] std::optional<account_limits>
  limitsOf(const base::account_id &Account) const;

  /// Part of every limit that one slot entitles to: the smallest in the phase.
  [[nodiscard]] millionths floorSharePerSlot() const;

  /// Part of every limit left for leased shares when the slots \p Claimed
  /// have records: the smallest in the phase.
  [[nodiscard]] millionths
  leasableShare(const std::vector<std::int64_t> &Claimed) const;

  /// Number of slots that may be claimed: the smallest in the phase.
  [[nodiscard]] std::int64_t slotCount() const;

  [[nodiscard]] const limits_configuration &newest() const;

  [[nodiscard]] base::json dump() const;

private:
  struct phase {
    limits_configuration Configuration;
    /// When it may be forgotten; far future for the newest.
    base::time_point Until;
  };

  /// The newest last.
  std::vector<phase> Phases;
  std::optional<base::time_point> SettledAt;
};

} // namespace radishrelay::accounts

#endif
