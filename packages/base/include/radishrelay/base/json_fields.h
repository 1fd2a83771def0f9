#ifndef RADISHRELAY_BASE_JSON_FIELDS_H
#define RADISHRELAY_BASE_JSON_FIELDS_H

#include "radishrelay/base/json.h"

#include <string>

namespace radishrelay::base {

/// Returns the text at \p Key, or an empty text if \p Object is no object, has
/// no such member, or has one of another type. For rows that another version of
/// the program may have written.
inline std::string textField(const json &Object, const char *Key) {
  if (!Object.is_object())
    return {};
  auto Field = Object.find(Key);
  return Field != Object.end() && Field->is_string() ? Field->get<std::string>()
                                                     : std::string();
}

/// Returns whether the member \p Key of \p Object is true.
inline bool flagField(const json &Object, const char *Key) {
  if (!Object.is_object())
    return false;
  auto Field = Object.find(Key);
  return Field != Object.end() && Field->is_boolean() && Field->get<bool>();
}

} // namespace radishrelay::base

#endif
