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

/// The complete configuration of the fleet at one version.
struct configuration_document {
  configuration_version Version = 0;
  /// Number of host slots. It never changes because all quotas are derived from
  /// it.
  std::int64_t SlotCount = 24;
  /// Fraction of each rate and burst that is divided among the host slots, in
  /// parts per million.
  std::int64_t FloorFractionPpm = 300'000;
  std::vector<client_account> Accounts;
  std::vector<database_group> Groups;
  std::vector<route> Routes;
  /// Session tokens are signed with the first key and accepted under any of
  /// them.
  std::vector<session_key> SessionKeys;
  /// Hosts that acknowledge new versions. A patch is accepted once a majority
  /// of them holds the resulting document; hosts ask the witnesses whether
  /// their own version is current.
  std::vector<base::host_id> Witnesses;
  /// The previous witnesses while a change of witnesses is in progress,
  /// otherwise empty. Until the change is confirmed, majorities of both lists
  /// are required.
  std::vector<base::host_id> PreviousWitnesses;

  friend auto operator<=>(const configuration_document &,
                          const configuration_document &) = default;
};

/// Parses and validates a document. Returns all errors that were found.
base::expected<configuration_document, configuration_errors>
parseConfiguration(const base::json &Document);

/// Inverse of parseConfiguration. The result contains the secrets of the
/// session keys.
base::json formatConfiguration(const configuration_document &Document);

/// Formats \p Document without secrets, salts and digests, for state dumps and
/// operators.
base::json formatConfigurationRedacted(const configuration_document &Document);

/// Checks the rules for a complete document. Returns an empty list if it is
/// valid.
configuration_errors
validateConfiguration(const configuration_document &Document);

/// SHA-256 of the formatted document in hexadecimal. Hosts that hold the same
/// version must compute the same digest.
std::string configurationDigest(const configuration_document &Document);

} // namespace radishrelay::fleet

#endif
