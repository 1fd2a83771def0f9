#ifndef RADISHRELAY_DAEMON_SRC_JSON_CONVERSION_H
#define RADISHRELAY_DAEMON_SRC_JSON_CONVERSION_H

#include "radishrelay/base/json.h"

#include <json/json.h>

namespace radishrelay::daemon::detail {

/// Conversions between the JSON type of libjsonrpccpp and base::json.
base::json fromJsonCpp(const Json::Value &Value);
Json::Value toJsonCpp(const base::json &Value);

} // namespace radishrelay::daemon::detail

#endif
