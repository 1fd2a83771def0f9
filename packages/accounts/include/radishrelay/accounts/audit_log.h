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

/// Memory bounds of an audit_log.
struct audit_options {
  std::size_t MaxMinutes = 60;
  /// Accounts beyond this number are counted together under an empty name.
  std::size_t MaxAccountsPerMinute = 1024;

  friend auto operator<=>(const audit_options &,
                          const audit_options &) = default;
};

/// Counts of admitted and refused requests per client account and minute, in
/// bounded memory: a new minute replaces the oldest one.
class audit_log {
public:
  explicit audit_log(audit_options Options = {}) : Options(Options) {}

  /// Counts a request. Once the log is full, requests of a minute older than
  /// all recorded ones are not counted.
  void count(const base::account_id &Account, audit_outcome Outcome,
             audit_minute Minute);

  /// Number of requests with \p Outcome in the recorded minutes.
  [[nodiscard]] std::uint64_t total(const base::account_id &Account,
                                    audit_outcome Outcome) const;

  /// One JSON object per line, sorted by minute and account, without the
  /// counts that are zero.
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
