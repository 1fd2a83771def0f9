#ifndef RADISHRELAY_BASE_RENDEZVOUS_H
#define RADISHRELAY_BASE_RENDEZVOUS_H

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace radishrelay::base {

/// A member of a rendezvous hash with its weight.
struct rendezvous_member {
  std::string Name;
  double Weight = 1.0;

  friend auto operator<=>(const rendezvous_member &,
                          const rendezvous_member &) = default;
};

/// Returns the names of \p Members ordered by preference for \p Key.
///
/// Weighted rendezvous hashing: a member is first for a share of the keys
/// that is proportional to its weight, and the removal of a member moves only
/// the keys for which it was first. Members without a positive weight are
/// left out.
std::vector<std::string>
rendezvousOrder(std::string_view Key,
                const std::vector<rendezvous_member> &Members);

/// Same with all weights equal.
std::vector<std::string> rendezvousOrder(std::string_view Key,
                                         const std::vector<std::string> &Names);

/// 64-bit hash of \p Text that is the same on all hosts.
std::uint64_t stableHash(std::string_view Text);

} // namespace radishrelay::base

#endif
