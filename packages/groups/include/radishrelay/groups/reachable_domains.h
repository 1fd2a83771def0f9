#ifndef RADISHRELAY_GROUPS_REACHABLE_DOMAINS_H
#define RADISHRELAY_GROUPS_REACHABLE_DOMAINS_H

#include "radishrelay/base/identifier.h"

#include <set>

namespace radishrelay::groups {

/// Event: the failure domains in which, according to the membership, this host
/// can reach hosts. They include its own domain.
struct reachable_domains {
  std::set<base::failure_domain_id> Domains;

  friend bool operator==(const reachable_domains &,
                         const reachable_domains &) = default;
};

} // namespace radishrelay::groups

#endif
