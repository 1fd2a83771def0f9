#ifndef RADISHRELAY_ACCOUNTS_TOKEN_AMOUNT_H
#define RADISHRELAY_ACCOUNTS_TOKEN_AMOUNT_H

#include <cstdint>

namespace radishrelay::accounts {

/// An amount of tokens, in units of 10^-12 tokens.
///
/// One millionth of a rate of one token per second is exactly one unit per
/// microsecond, so that refills are exact in integer arithmetic.
using token_amount = std::int64_t;

/// One token: the right to run one request.
constexpr token_amount OneToken = 1'000'000'000'000;

/// A fraction of a whole, in millionths.
using millionths = std::int64_t;
constexpr millionths WholeInMillionths = 1'000'000;

/// Maximum burst (tokens) and rate (tokens per second) of an account. Within
/// this limit no product overflows 64 bits.
constexpr std::int64_t MaxLimit = 1'000'000;

} // namespace radishrelay::accounts

#endif
