#ifndef RADISHRELAY_BASE_JSON_H
#define RADISHRELAY_BASE_JSON_H

#include <nlohmann/json.hpp>

namespace radishrelay::base {

/// JSON that keeps members in insertion order, so that state dumps and test
/// transcripts are identical on each run.
using json = nlohmann::ordered_json;

} // namespace radishrelay::base

#endif
