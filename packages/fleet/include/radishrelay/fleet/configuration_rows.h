#ifndef RADISHRELAY_FLEET_CONFIGURATION_ROWS_H
#define RADISHRELAY_FLEET_CONFIGURATION_ROWS_H

#include "radishrelay/base/store_request.h"
#include "radishrelay/fleet/configuration_patch.h"

#include <string>

namespace radishrelay::fleet {

/// Rows of the table service that hold the configuration. All of one patch are
/// written in one transaction.

/// The whole document.
base::row_key currentRow();
/// {"version","digest"} of the document: small enough to be polled.
base::row_key versionRow();
/// The patch that led to \p Version.
base::row_key historyRow(configuration_version Version);
/// Which version a submission led to.
base::row_key submissionRow(const std::string &Submission);

/// An entry of the history.
struct history_record {
  configuration_version Version = 0;
  std::string Author;
  std::string Reason;
  std::string Submission;
  /// Wall-clock time in RFC 3339 format, for readers.
  std::string Time;
  configuration_patch Patch;
  /// Digest of the document after the patch.
  std::string Digest;

  friend bool operator==(const history_record &,
                         const history_record &) = default;
};

base::json formatHistory(const history_record &Record);

/// Returns errors for text that is not an entry of the history.
base::expected<history_record, configuration_errors>
parseHistory(const base::json &Value);

} // namespace radishrelay::fleet

#endif
