#ifndef RADISHRELAY_CLI_SRC_LOAD_CONFIGURATION_H
#define RADISHRELAY_CLI_SRC_LOAD_CONFIGURATION_H

#include "load_profile.h"

#include "radishrelay/base/json.h"

#include <map>

namespace radishrelay::cli {

/// What a configuration document of a local deployment is made of.
struct load_configuration_parts {
  load_profile Profile;
  /// Addresses of the instances of each group, in the profile's order.
  std::vector<std::vector<std::string>> Instances;
  std::vector<std::string> Witnesses;

  friend bool operator==(const load_configuration_parts &,
                         const load_configuration_parts &) = default;
};

/// Name of the table that load routes use.
constexpr std::string_view LoadTable = "load_records";

/// Statement of the writes: parameters id and session.
std::string loadWriteStatement();
/// Statement of the reads: parameters echo and id.
std::string loadReadStatement();

/// The configuration with the routes GROUP-write, GROUP-read and
/// GROUP-current. Creates a key for each account without one and stores its
/// text in \p Parts.
base::json makeLoadConfiguration(load_configuration_parts &Parts);

} // namespace radishrelay::cli

#endif
