#ifndef RADISHRELAY_FLEET_BACKEND_INSTANCE_H
#define RADISHRELAY_FLEET_BACKEND_INSTANCE_H

#include "radishrelay/base/identifier.h"

#include <compare>
#include <string>

namespace radishrelay::fleet {

/// A backend server of a database group.
struct backend_instance {
  base::instance_id Id;
  /// Address in the form "IP:port".
  std::string Address;
  base::failure_domain_id FailureDomain;

  friend auto operator<=>(const backend_instance &,
                          const backend_instance &) = default;
};

} // namespace radishrelay::fleet

#endif
