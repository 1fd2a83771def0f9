#include "radishrelay/groups/instance_status.h"

#include "radishrelay/base/json.h"

namespace radishrelay::groups {

namespace {

base::failure malformed(const std::string &Detail) {
  return {std::make_error_code(std::errc::bad_message), "parse group status",
          "", Detail};
}

instance_status fromJson(const base::json &Object) {
  instance_status Status;
  bool IsPrimary = Object.at("role").get<std::string>() == "primary";
  Status.Role = IsPrimary ? instance_role::Primary : instance_role::Replica;
  Status.Position.Term = Object.at("term").get<term_number>();
  Status.Position.Offset = Object.at("position").get<log_offset>();
  Status.RaisedTerm = Object.at("raised_term").get<term_number>();
  for (const base::json &Start : Object.at("term_starts"))
    Status.TermStarts.push_back(
        {Start.at(0).get<term_number>(), Start.at(1).get<log_offset>()});
  const base::json &Age = Object.at("applied_age_ms");
  if (!Age.is_null())
    Status.AppliedAge = std::chrono::milliseconds(Age.get<std::int64_t>());
  return Status;
}

} // namespace

base::expected<instance_status> parseInstanceStatus(const std::string &Text) {
  base::json Object = base::json::parse(Text, nullptr, false);
  if (!Object.is_object())
    return malformed("not a JSON object");
  try {
    return fromJson(Object);
  } catch (const base::json::exception &Error) {
    return malformed(Error.what());
  }
}

std::string formatInstanceStatus(const instance_status &Status) {
  base::json Object = base::json::object();
  bool IsPrimary = Status.Role == instance_role::Primary;
  Object["role"] = IsPrimary ? "primary" : "replica";
  Object["term"] = Status.Position.Term;
  Object["raised_term"] = Status.RaisedTerm;
  Object["position"] = Status.Position.Offset;
  Object["term_starts"] = base::json::array();
  for (const log_position &Start : Status.TermStarts)
    Object["term_starts"].push_back({Start.Term, Start.Offset});
  Object["applied_age_ms"] = nullptr;
  if (Status.AppliedAge)
    Object["applied_age_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            *Status.AppliedAge)
            .count();
  return Object.dump();
}

} // namespace radishrelay::groups
