#ifndef RADISHRELAY_SESSIONS_DETAIL_TOKEN_BORROWER_H
#define RADISHRELAY_SESSIONS_DETAIL_TOKEN_BORROWER_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace radishrelay::sessions::detail {

/// Asks the holders of an account's limits for tokens, one after another.
///
/// A round ends when a holder gives tokens, or when none of those asked has
/// any; then operations that arrived before the round started are over the
/// limit. There is at most one round for each account at a time.
class token_borrower {
public:
  /// Starts a round; returns the address to ask first, or none if there is no
  /// lender.
  std::optional<std::string> start(const base::account_id &Account,
                                   std::vector<std::string> Lenders,
                                   base::time_point Now);
  [[nodiscard]] bool isAsking(const base::account_id &Account) const;
  /// \p Lender has answered. Returns whom to ask next, if it gave nothing and
  /// somebody is left.
  std::optional<std::string> answered(const base::account_id &Account,
                                      const std::string &Lender, bool Granted,
                                      base::time_point Now);
  /// Accounts with the next address to ask because a lender did not answer.
  std::map<base::account_id, std::string> advance(base::time_point Now);
  [[nodiscard]] base::time_point nextDeadline() const;
  /// Whether a round that started at \p Since or later has found no token.
  [[nodiscard]] bool isExhausted(const base::account_id &Account,
                                 base::time_point Since) const;
  /// True once a round has ended without tokens since the last call.
  bool takeExhausted();

private:
  struct round {
    std::vector<std::string> Lenders;
    std::size_t Asked = 0;
    base::time_point StartedAt;
    base::time_point AnswerDeadline;
    /// Start of the last round that found no token.
    base::time_point ExhaustedFrom;
    bool IsOpen = false;
  };

  std::optional<std::string> askNext(round &Round, base::time_point Now);

  std::map<base::account_id, round> Rounds;
  bool HasExhausted = false;
};

} // namespace radishrelay::sessions::detail

#endif
