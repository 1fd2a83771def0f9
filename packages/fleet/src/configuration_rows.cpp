#include "radishrelay/fleet/configuration_rows.h"

#include "json_reader.h"

namespace radishrelay::fleet {

base::row_key currentRow() { return {"configuration", "current"}; }

base::row_key versionRow() { return {"configuration", "version"}; }

base::row_key historyRow(configuration_version Version) {
  return {"configuration_history", std::to_string(Version)};
}

base::row_key submissionRow(const std::string &Submission) {
  return {"configuration_submissions", Submission};
}

base::json formatHistory(const history_record &Record) {
  return {
      {"version", Record.Version}, {"author", Record.Author},
      {"reason", Record.Reason},   {"submission", Record.Submission},
      {"time", Record.Time},       {"operations", formatPatch(Record.Patch)},
      {"digest", Record.Digest}};
}

base::expected<history_record, configuration_errors>
parseHistory(const base::json &Value) {
  configuration_errors Errors;
  detail::json_reader Reader(Value, "", Errors);
  history_record Record;
  Record.Version =
      static_cast<configuration_version>(Reader.integer("version"));
  Record.Author = Reader.string("author");
  Record.Reason = Reader.string("reason");
  Record.Submission = Reader.string("submission");
  Record.Time = Reader.string("time");
  Record.Digest = Reader.string("digest");
  if (!Errors.empty())
    return Errors;
  auto Patch = parsePatch(Value.value("operations", base::json()));
  if (!Patch)
    return Patch.error();
  Record.Patch = std::move(*Patch);
  return Record;
}

} // namespace radishrelay::fleet
