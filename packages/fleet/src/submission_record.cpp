#include "submission_record.h"

#include "json_reader.h"

#include "radishrelay/base/digest.h"

namespace radishrelay::fleet::detail {

base::json formatSubmissionRecord(const submission_record &Record) {
  return {{"version", Record.Version}, {"patch_digest", Record.PatchDigest}};
}

std::optional<submission_record>
parseSubmissionRecord(const base::json &Value) {
  configuration_errors Errors;
  json_reader Reader(Value, "", Errors);
  submission_record Record;
  Record.Version =
      static_cast<configuration_version>(Reader.integer("version"));
  Record.PatchDigest = Reader.string("patch_digest");
  if (!Errors.empty())
    return std::nullopt;
  return Record;
}

std::string patchDigest(const configuration_patch &Patch) {
  return base::encodeHex(base::sha256(formatPatch(Patch).dump()));
}

} // namespace radishrelay::fleet::detail
