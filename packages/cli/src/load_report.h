#ifndef RADISHRELAY_CLI_SRC_LOAD_REPORT_H
#define RADISHRELAY_CLI_SRC_LOAD_REPORT_H

#include "load_measures.h"

#include <optional>
#include <ostream>

namespace radishrelay::cli {

/// Result of a run.
struct load_report {
  std::vector<std::string> Groups;
  base::duration Length{};
  load_measures Measures;
  std::vector<broken_promise> Broken;
  /// False when the groups could not be queried at the end.
  bool RowsChecked = false;
  /// Steps that could not be run.
  std::vector<std::string> FailedSteps;
  /// Measures of the same arrivals sent straight to the backend servers.
  std::optional<load_measures> Direct;
};

/// Writes the report as a table.
void printLoadReport(const load_report &Report, std::ostream &Out);

/// The report as JSON.
base::json toJson(const load_report &Report);

} // namespace radishrelay::cli

#endif
