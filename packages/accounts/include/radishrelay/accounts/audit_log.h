#ifndef RADISHRELAY_ACCOUNTS_AUDIT_LOG_H
#define RADISHRELAY_ACCOUNTS_AUDIT_LOG_H

#include "radishrelay/accounts/audit_outcome.h"
#include "radishrelay/base/identifier.h"
#include "radishrelay/base/json.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace radishrelay::accounts {

/// Minutes since the Unix epoch, by the host's wall clock.
using audit_minute = std::int64_t;

/// Bounds of an audit_log.
struct audit_options {
  std::size_t MaxMinutes = 60;
  /// Further accounts of a minute are counted together under an empty name.
  std::size_t MaxAccountsPerMinute = 1024;

  friend auto operator<=>(const audit_options &,
                          const audit_options &) = default;
};

/// Counts of admitted and refused requests per client account and minute, in
/// bounded memory: the oldest minute makes room for a new one.
class audit_log {
public:
  explicit audit_log(audit_options Options = {}) : Options(Options) {}

  /// Counts a request. A minute older than all that are kept is dropped.
  void count(const base::account_id &Account, audit_outcome Outcome,
             audit_minute Minute);

  /// Requests with \p Outcome in the minutes that are kept.
  [[nodiscard]] std::uint64_t total(const base::account_id &Account,
                                    audit_outcome Outcome) const;

  /// One JSON object per line, by minute and account; counts of zero are left
  /// out.
  [[nodiscard]] std::string jsonLines() const;

  [[nodiscard]] base::json dump() const;

private:
  using counts = std::array<std::uint64_t, AuditOutcomeCount>;
  using minute_counts = std::map<base::account_id, counts>;

  audit_options Options;
  std::map<audit_minute, minute_counts> Minutes;
};

} // namespace radishrelay::accounts

#endif
