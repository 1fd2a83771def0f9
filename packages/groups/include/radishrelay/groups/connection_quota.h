#ifndef RADISHRELAY_GROUPS_CONNECTION_QUOTA_H
#define RADISHRELAY_GROUPS_CONNECTION_QUOTA_H

#include <cstdint>

namespace radishrelay::groups {

/// Returns the number of connections that one host may open to an instance.
///
/// \p Limit is the number of connections that the instance accepts. \p Reserve
/// of them are kept for operators and for connections that the instance still
/// holds after a host has lost them. The rest is divided evenly among the host
/// slots, so the sum over all hosts stays within the limit even when hosts have
/// different member lists.
constexpr std::uint32_t connectionQuota(std::uint32_t Limit,
                                        std::uint32_t Reserve,
                                        std::uint32_t SlotCount) {
  if (Limit <= Reserve || SlotCount == 0)
    return 0;
  return (Limit - Reserve) / SlotCount;
}

} // namespace radishrelay::groups

#endif
