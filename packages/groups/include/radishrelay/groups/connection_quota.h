#ifndef RADISHRELAY_GROUPS_CONNECTION_QUOTA_H
#define RADISHRELAY_GROUPS_CONNECTION_QUOTA_H

#include <cstdint>

namespace radishrelay::groups {

/// Connections that one host may open to an instance.
///
/// \p Limit is the instance's, \p Reserve is kept for operators and for
/// connections that the instance holds after a host has lost them. With a
/// quota per host slot the sum over all hosts stays within the limit, whatever
/// each host knows of the others.
constexpr std::uint32_t connectionQuota(std::uint32_t Limit,
                                        std::uint32_t Reserve,
                                        std::uint32_t SlotCount) {
  if (Limit <= Reserve || SlotCount == 0)
    return 0;
  return (Limit - Reserve) / SlotCount;
}

} // namespace radishrelay::groups

#endif
