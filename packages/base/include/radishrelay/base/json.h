#ifndef RADISHRELAY_BASE_JSON_H
#define RADISHRELAY_BASE_JSON_H

#include <nlohmann/json.hpp>

namespace radishrelay::base {

/// JSON with members in the order of insertion, so that dumps and transcripts
/// are the same on each run.
using json = nlohmann::ordered_json;

} // namespace radishrelay::base

#endif
