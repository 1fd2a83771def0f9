#ifndef RADISHRELAY_BASE_UNTRUSTED_JSON_H
#define RADISHRELAY_BASE_UNTRUSTED_JSON_H

#include "radishrelay/base/json.h"

#include <string_view>

namespace radishrelay::base {

/// Maximum nesting of a document that another program wrote. Copying and
/// printing a document take stack per level; the documents in use have fewer
/// than ten levels.
constexpr std::size_t MaxJsonNesting = 64;

/// Parses a document that another program wrote. Returns null if \p Text is not
/// JSON or is nested deeper than MaxJsonNesting.
json parseUntrustedJson(std::string_view Text);

} // namespace radishrelay::base

#endif
