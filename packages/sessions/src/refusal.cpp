#include "radishrelay/sessions/refusal.h"

#include <array>

namespace radishrelay::sessions {

std::string_view refusalName(refusal Refusal) {
  static constexpr std::array<std::string_view, 14> Names{
      "busy",         "aborted",     "lagging",          "read_only",
      "misrouted",    "too_many",    "in_doubt",         "timeout",
      "failed",       "unknown_key", "unknown_database", "malformed",
      "unknown_name", "other"};
  return Names.at(static_cast<std::size_t>(Refusal));
}

} // namespace radishrelay::sessions
