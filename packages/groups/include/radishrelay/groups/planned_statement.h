#ifndef RADISHRELAY_GROUPS_PLANNED_STATEMENT_H
#define RADISHRELAY_GROUPS_PLANNED_STATEMENT_H

#include <optional>
#include <string>
#include <vector>

namespace radishrelay::groups {

/// One SQL statement to run with its parameters $1, $2, and so on; an empty
/// parameter means SQL NULL.
struct planned_statement {
  std::string Text;
  std::vector<std::optional<std::string>> Parameters;

  friend bool operator==(const planned_statement &,
                         const planned_statement &) = default;
};

} // namespace radishrelay::groups

#endif
