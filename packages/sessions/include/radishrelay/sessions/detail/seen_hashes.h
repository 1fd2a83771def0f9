#ifndef RADISHRELAY_SESSIONS_DETAIL_SEEN_HASHES_H
#define RADISHRELAY_SESSIONS_DETAIL_SEEN_HASHES_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace radishrelay::sessions::detail {

/// A set of 64-bit hashes of bounded size. Memory is allocated as it grows.
class seen_hashes {
public:
  /// 8 KiB of memory.
  static constexpr std::size_t Capacity = 1024;

  /// Adds \p Hash unless the set is full. Returns false if it was added before.
  bool insert(std::uint64_t Hash) {
    if (std::ranges::find(Hashes, Hash) != Hashes.end())
      return false;
    if (!isFull())
      Hashes.push_back(Hash);
    return true;
  }
  [[nodiscard]] bool isFull() const { return Hashes.size() == Capacity; }

private:
  std::vector<std::uint64_t> Hashes;
};

} // namespace radishrelay::sessions::detail

#endif
