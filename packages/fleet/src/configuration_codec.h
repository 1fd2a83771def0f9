#ifndef RADISHRELAY_FLEET_SRC_CONFIGURATION_CODEC_H
#define RADISHRELAY_FLEET_SRC_CONFIGURATION_CODEC_H

#include "json_reader.h"

#include "radishrelay/fleet/configuration_document.h"

namespace radishrelay::fleet::detail {

/// Conversions between JSON and the parts of a document that also occur in
/// patches. Errors are recorded in the reader.
account_key readKey(json_reader &Reader);
database_group readGroup(json_reader &Reader);
route readRoute(json_reader &Reader);
session_key readSessionKey(json_reader &Reader);
std::vector<base::host_id> toHosts(const std::vector<std::string> &Names);

base::json formatKey(const account_key &Key);
base::json formatGroup(const database_group &Group);
base::json formatRoute(const route &Route);
base::json formatSessionKey(const session_key &Key);
base::json formatHosts(const std::vector<base::host_id> &Hosts);

} // namespace radishrelay::fleet::detail

#endif
