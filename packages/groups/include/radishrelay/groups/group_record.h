#ifndef RADISHRELAY_GROUPS_GROUP_RECORD_H
#define RADISHRELAY_GROUPS_GROUP_RECORD_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/store_request.h"
#include "radishrelay/groups/log_position.h"

#include <optional>
#include <string>

namespace radishrelay::groups {

/// Row of a database group in the table `groups` of the table service; the key
/// is the group's identifier. Promoters allocate terms by conditional writes to
/// it.
struct group_record {
  term_number Term = 0;
  /// Owner of the term as "HOST/INCARNATION".
  std::string Promoter;
  /// Random identifier of the promotion attempt. The promoter recognizes its
  /// own write by it when the answer to the write was lost.
  std::string Operation;
  /// Primary of the term; set once the promotion has succeeded.
  std::optional<base::instance_id> Primary;

  friend bool operator==(const group_record &, const group_record &) = default;
};

/// Returns the key of the group's record in the table service.
base::row_key groupRecordKey(const base::group_id &Group);

base::json toJson(const group_record &Record);

/// Returns a default-constructed record when \p Value is null or malformed.
group_record parseGroupRecord(const base::json &Value);

} // namespace radishrelay::groups

#endif
