#include "radishrelay/sessions/backend_request.h"

#include <array>

namespace radishrelay::sessions {

std::string_view verbName(backend_verb Verb) {
  static constexpr std::array<std::string_view, BackendVerbCount> Names{
      "forward",  "execute", "begin",     "begin_read_only",
      "rollback", "reset",   "set_value", "prepare",
      "status",   "fence",   "demote",    "unfence"};
  return Names.at(static_cast<std::size_t>(Verb));
}

} // namespace radishrelay::sessions
