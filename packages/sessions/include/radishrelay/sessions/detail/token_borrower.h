#ifndef RADISHRELAY_SESSIONS_DETAIL_TOKEN_BORROWER_H
#define RADISHRELAY_SESSIONS_DETAIL_TOKEN_BORROWER_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace radishrelay::sessions::detail {

/// Requests tokens from the owners of an account's limits, one owner after
/// another.
///
/// A round ends when an owner grants tokens, or when every owner asked has
/// refused or not answered in time; in the latter case, operations that arrived
/// before the round started exceed the limit. Each account has at most one
/// round at a time.
class token_borrower {
public:
  /// Starts a round. Returns the address of the first lender to ask, or none if
  /// \p Lenders is empty.
  std::optional<std::string> start(const base::account_id &Account,
                                   std::vector<std::string> Lenders,
                                   base::time_point Now);
  [[nodiscard]] bool isAsking(const base::account_id &Account) const;
  /// Handles the answer of \p Lender. Returns the lender to ask next, if it
  /// granted nothing and lenders are left.
  std::optional<std::string> answered(const base::account_id &Account,
                                      const std::string &Lender, bool Granted,
                                      base::time_point Now);
  /// Returns the lender to ask next for each account whose last lender did not
  /// answer in time.
  std::map<base::account_id, std::string> advance(base::time_point Now);
  [[nodiscard]] base::time_point nextDeadline() const;
  /// Whether a round that started at \p Since or later found no token.
  [[nodiscard]] bool isExhausted(const base::account_id &Account,
                                 base::time_point Since) const;
  /// Returns true if a round has ended without tokens since the last call.
  bool takeExhausted();

private:
  struct round {
    std::vector<std::string> Lenders;
    std::size_t Asked = 0;
    base::time_point StartedAt;
    base::time_point AnswerDeadline;
    /// Start of the last round that ended without tokens.
    base::time_point ExhaustedFrom;
    bool IsOpen = false;
  };

  std::optional<std::string> askNext(round &Round, base::time_point Now);

  std::map<base::account_id, round> Rounds;
  bool HasExhausted = false;
};

} // namespace radishrelay::sessions::detail

#endif
