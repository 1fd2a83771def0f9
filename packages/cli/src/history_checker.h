#ifndef RADISHRELAY_CLI_SRC_HISTORY_CHECKER_H
#define RADISHRELAY_CLI_SRC_HISTORY_CHECKER_H

#include "broken_promise.h"
#include "load_account.h"
#include "request_record.h"

#include <map>
#include <optional>
#include <vector>

namespace radishrelay::cli {

/// Number of rows by id that the database groups hold after a run.
using row_counts = std::map<std::string, std::int64_t>;

/// Everything known about a run.
struct load_history {
  std::vector<load_account> Accounts;
  std::vector<request_record> Records;
  /// Empty when the groups could not be queried.
  std::optional<row_counts> Rows;
};

/// Each broken promise that the history shows. An unknown outcome counts for
/// the system: the row may be there once or not at all.
std::vector<broken_promise> checkHistory(const load_history &History);

} // namespace radishrelay::cli

#endif
