#ifndef RADISHRELAY_FLEET_CONFIGURATION_DOCUMENT_H
#define RADISHRELAY_FLEET_CONFIGURATION_DOCUMENT_H

#include "radishrelay/base/expected.h"
#include "radishrelay/base/json.h"
#include "radishrelay/fleet/client_account.h"
#include "radishrelay/fleet/configuration_error.h"
#include "radishrelay/fleet/configuration_version.h"
#include "radishrelay/fleet/database_group.h"
#include "radishrelay/fleet/route.h"
#include "radishrelay/fleet/session_key.h"

#include <string>
#include <vector>

namespace radishrelay::fleet {

/// The whole configuration of the fleet at one version.
struct configuration_document {
  configuration_version Version = 0;
  /// Number of host slots; fixed, as all quotas are derived from it.
  std::int64_t SlotCount = 24;
  /// Share of rate and burst that host slots hold, in millionths.
  std::int64_t FloorFractionPpm = 300'000;
  std::vector<client_account> Accounts;
  std::vector<database_group> Groups;
  std::vector<route> Routes;
  /// The first one signs; all are accepted.
  std::vector<session_key> SessionKeys;
  std::vector<base::host_id> Witnesses;
  /// The former witnesses while a change of witnesses is in progress. Until it
  /// is confirmed, majorities of both lists are needed.
  std::vector<base::host_id> PreviousWitnesses;

  friend auto operator<=>(const configuration_document &,
                          const configuration_document &) = default;
};

/// Parses and validates a document.
base::expected<configuration_document, configuration_errors>
parseConfiguration(const base::json &Document);

/// Inverse of parseConfiguration. Holds the secrets of the session keys.
base::json formatConfiguration(const configuration_document &Document);

/// Same without secrets, salts and digests, for dumps and operators.
base::json formatConfigurationRedacted(const configuration_document &Document);

/// All rules that hold for a document as a whole; empty when it is valid.
configuration_errors
validateConfiguration(const configuration_document &Document);

/// SHA-256 of the formatted document in hexadecimal. Two hosts with the same
/// version must have the same digest.
std::string configurationDigest(const configuration_document &Document);

} // namespace radishrelay::fleet

#endif
