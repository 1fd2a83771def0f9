#ifndef RADISHRELAY_CLI_SRC_LOAD_ACCOUNT_H
#define RADISHRELAY_CLI_SRC_LOAD_ACCOUNT_H

#include "radishrelay/base/expected.h"

#include <cstdint>
#include <string>

namespace radishrelay::cli {

/// A client account that the load tool plays.
struct load_account {
  std::string Name;
  /// Requests per second that are sent.
  std::int64_t OfferedPerSecond = 0;
  /// The configured rate in requests per second.
  std::int64_t RatePerSecond = 0;
  std::int64_t Burst = 0;
  /// Text of the key; empty when a local deployment creates it.
  std::string Key;

  friend bool operator==(const load_account &, const load_account &) = default;
};

/// Parses "OFFERED,RATE,BURST[,KEY]". Fails at the step "parse account".
base::expected<load_account> parseLoadAccount(const std::string &Name,
                                              const std::string &Text);

} // namespace radishrelay::cli

#endif
