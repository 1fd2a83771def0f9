#ifndef RADISHRELAY_BASE_STORE_VERSION_H
#define RADISHRELAY_BASE_STORE_VERSION_H

#include "radishrelay/base/store_request.h"

#include <cstdint>

namespace radishrelay::base {

/// Bits of a row_version that hold the store's own number. Enough for a century
/// at several thousand transactions a second.
constexpr int StoreNumberBits = 44;
constexpr std::uint64_t MaxStoreNumber =
    (std::uint64_t{1} << StoreNumberBits) - 1;
constexpr std::uint64_t MaxStoreHistory =
    (std::uint64_t{1} << (64 - StoreNumberBits)) - 1;

/// Combines a number that the store assigned with the history in which it did
/// so. A store that is restored from a copy starts another history: it has lost
/// the transactions since the copy and assigns their numbers again. The
/// combined versions never repeat or go back.
/// \p History and \p Number must not exceed MaxStoreHistory and MaxStoreNumber.
constexpr row_version versionIn(std::uint64_t History, std::uint64_t Number) {
  return History << StoreNumberBits | Number;
}

/// The history of the store that \p Version belongs to.
constexpr std::uint64_t historyOf(row_version Version) {
  return Version >> StoreNumberBits;
}

/// The number that the store itself assigned.
constexpr std::uint64_t storeNumberOf(row_version Version) {
  return Version & MaxStoreNumber;
}

} // namespace radishrelay::base

#endif
