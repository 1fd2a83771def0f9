#ifndef RADISHRELAY_FLEET_CONFIGURATION_ROWS_H
#define RADISHRELAY_FLEET_CONFIGURATION_ROWS_H

#include "radishrelay/base/store_request.h"
#include "radishrelay/fleet/configuration_patch.h"

#include <string>

namespace radishrelay::fleet {

/// Keys of the rows in the store that hold the configuration. All rows that a
/// patch changes are written in one transaction.

/// Row that holds the current document.
base::row_key currentRow();
/// Row that holds {"version","digest"} of the current document. Hosts poll this
/// row because it is small.
base::row_key versionRow();
/// Row that holds the history_record of the patch that created \p Version.
base::row_key historyRow(configuration_version Version);
/// Row that records the version that a submission created.
base::row_key submissionRow(const std::string &Submission);

/// An accepted patch in the history of the configuration.
struct history_record {
  configuration_version Version = 0;
  std::string Author;
  std::string Reason;
  std::string Submission;
  /// Wall-clock time in RFC 3339 format. Shown to readers of the history.
  std::string Time;
  configuration_patch Patch;
  /// Digest of the document that results from the patch.
  std::string Digest;

  friend bool operator==(const history_record &,
                         const history_record &) = default;
};

base::json formatHistory(const history_record &Record);

/// Inverse of formatHistory. Returns errors for a value that is not a history
/// record.
base::expected<history_record, configuration_errors>
parseHistory(const base::json &Value);

} // namespace radishrelay::fleet

#endif
