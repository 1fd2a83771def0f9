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

/// Returns the names of \p Members, most preferred for \p Key first.
///
/// Uses weighted rendezvous hashing: each member comes first for a share of the
/// keys that is proportional to its weight, and removing a member reassigns
/// only the keys for which it came first. Members without a positive weight are
/// omitted.
std::vector<std::string>
rendezvousOrder(std::string_view Key,
                const std::vector<rendezvous_member> &Members);

/// Overload for members of equal weight.
std::vector<std::string> rendezvousOrder(std::string_view Key,
                                         const std::vector<std::string> &Names);

/// Returns a 64-bit hash of \p Text that is identical on all hosts.
std::uint64_t stableHash(std::string_view Text);

} // namespace radishrelay::base

#endif
