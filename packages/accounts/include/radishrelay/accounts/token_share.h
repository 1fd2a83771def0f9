#ifndef RADISHRELAY_ACCOUNTS_TOKEN_SHARE_H
#define RADISHRELAY_ACCOUNTS_TOKEN_SHARE_H

#include "radishrelay/accounts/account_limits.h"
#include "radishrelay/accounts/token_amount.h"

#include <compare>

namespace radishrelay::accounts {

/// A share of an account's rate and burst.
struct token_share {
  /// In units of token_amount per microsecond.
  token_amount Rate = 0;
  /// In units of token_amount.
  token_amount Burst = 0;

  friend auto operator<=>(const token_share &, const token_share &) = default;
};

/// Returns the fraction \p Share of \p Limits, without rounding.
constexpr token_share shareOf(const account_limits &Limits, millionths Share) {
  constexpr token_amount UnitsPerMillionth = OneToken / WholeInMillionths;
  return {Limits.RatePerSecond * Share,
          Limits.Burst * Share * UnitsPerMillionth};
}

} // namespace radishrelay::accounts

#endif
