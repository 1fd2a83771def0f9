#ifndef RADISHRELAY_GROUPS_SIGNING_KEY_H
#define RADISHRELAY_GROUPS_SIGNING_KEY_H

#include <string>

namespace radishrelay::groups {

/// A signing secret that all hosts share, with the id that tokens carry to
/// refer to it.
struct signing_key {
  /// At most 255 bytes.
  std::string Id;
  std::string Secret;

  friend bool operator==(const signing_key &, const signing_key &) = default;
};

} // namespace radishrelay::groups

#endif
