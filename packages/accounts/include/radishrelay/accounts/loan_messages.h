#ifndef RADISHRELAY_ACCOUNTS_LOAN_MESSAGES_H
#define RADISHRELAY_ACCOUNTS_LOAN_MESSAGES_H

#include "radishrelay/accounts/lending_pool.h"
#include "radishrelay/base/expected.h"
#include "radishrelay/base/identifier.h"
#include "radishrelay/base/json.h"

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace radishrelay::accounts {

/// Requests tokens from another host.
struct loan_request {
  base::account_id Account;
  std::uint64_t BorrowerIncarnation = 0;
  /// Unique within one incarnation of the borrower.
  std::uint64_t Number = 0;
  token_amount Amount = 0;

  friend auto operator<=>(const loan_request &, const loan_request &) = default;
};

/// Answers a loan_request.
struct loan_grant {
  base::account_id Account;
  std::uint64_t BorrowerIncarnation = 0;
  std::uint64_t RequestNumber = 0;
  std::uint64_t LenderIncarnation = 0;
  loan_number Loan = 0;
  /// 0 if the request is denied.
  token_amount Amount = 0;
  /// Counted by the borrower from before it sent the request. It is a duration
  /// because the hosts have no common clock.
  base::duration Validity{};

  friend auto operator<=>(const loan_grant &, const loan_grant &) = default;
};

/// Tells the lender that a loan has ended. The lender gets the unspent tokens
/// back.
struct loan_report {
  base::account_id Account;
  std::uint64_t LenderIncarnation = 0;
  loan_number Loan = 0;
  token_amount Spent = 0;

  friend auto operator<=>(const loan_report &, const loan_report &) = default;
};

/// One or more reports to one lender.
struct loan_reports {
  std::vector<loan_report> Reports;

  friend auto operator<=>(const loan_reports &, const loan_reports &) = default;
};

/// A message between the limiters of two hosts. Messages may be lost, delayed,
/// repeated or reordered; this can lose tokens but never creates any.
using limiter_message = std::variant<loan_request, loan_grant, loan_reports>;

/// Converts a message to JSON for the peer protocol.
base::json toJson(const limiter_message &Message);

/// Inverse of toJson. Fails with bad_message in the step "parse limiter
/// message".
base::expected<limiter_message> parseLimiterMessage(const base::json &Object);

} // namespace radishrelay::accounts

#endif
