#include "radishrelay/groups/group_record.h"

namespace radishrelay::groups {

base::row_key groupRecordKey(const base::group_id &Group) {
  return {"groups", Group.str()};
}

base::json toJson(const group_record &Record) {
  base::json Object = {{"term", Record.Term},
                       {"promoter", Record.Promoter},
                       {"operation", Record.Operation},
                       {"primary", nullptr}};
  if (Record.Primary)
    Object["primary"] = Record.Primary->str();
  return Object;
}

group_record parseGroupRecord(const base::json &Value) {
  if (!Value.is_object())
    return {};
  try {
    group_record Record;
    Record.Term = Value.at("term").get<term_number>();
    Record.Promoter = Value.value("promoter", "");
    Record.Operation = Value.value("operation", "");
    if (Value.contains("primary") && Value["primary"].is_string())
      Record.Primary = base::instance_id(Value["primary"].get<std::string>());
    return Record;
  } catch (const base::json::exception &) {
    return {};
  }
}

} // namespace radishrelay::groups
