#ifndef RADISHRELAY_GROUPS_REQUEST_RECORD_H
#define RADISHRELAY_GROUPS_REQUEST_RECORD_H

#include <string>

namespace radishrelay::groups {

/// Record of a keyed write: a row of the table radishrelay_requests without its
/// primary key.
struct request_record {
  std::string Route;
  std::string BodyDigest;
  /// The recorded response.
  std::string Answer;

  friend bool operator==(const request_record &,
                         const request_record &) = default;
};

} // namespace radishrelay::groups

#endif
