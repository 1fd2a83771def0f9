#ifndef RADISHRELAY_GROUPS_GROUP_RECORD_H
#define RADISHRELAY_GROUPS_GROUP_RECORD_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/store_request.h"
#include "radishrelay/groups/log_position.h"

#include <optional>
#include <string>

namespace radishrelay::groups {

/// Content of table `groups`, key GROUP.
struct group_record {
  term_number Term = 0;
  /// Owner of the term as "HOST/INCARNATION".
  std::string Promoter;
  /// Random identifier of the promotion; recognises a write whose answer was
  /// lost.
  std::string Operation;
  /// Set once the promotion has succeeded.
  std::optional<base::instance_id> Primary;

  friend bool operator==(const group_record &, const group_record &) = default;
};

/// Place of the record in the table service.
base::row_key groupRecordKey(const base::group_id &Group);

base::json toJson(const group_record &Record);

/// Returns an empty record when \p Value is null or malformed.
group_record parseGroupRecord(const base::json &Value);

} // namespace radishrelay::groups

#endif
