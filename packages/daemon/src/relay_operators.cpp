#include "radishrelay/daemon/relay.h"

#include "radishrelay/fleet/configuration_rows.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/NumberParser.h>
#include <Poco/Timestamp.h>

namespace radishrelay::daemon {

namespace {

constexpr base::duration SubmissionTimeout = std::chrono::seconds(4);
/// First id of history reads. They share an id space with the configuration
/// requests of fleet_runtime, which count up from 1.
constexpr std::uint64_t HistoryIdBase = std::uint64_t(1) << 62U;

operator_reply refusal(int Status, std::string_view Code,
                       const std::string &Detail) {
  base::json Body = base::json::object();
  Body["type"] = "urn:radishrelay:problem:" + std::string(Code);
  Body["status"] = Status;
  Body["code"] = Code;
  Body["detail"] = Detail;
  Body["ran"] = "no";
  return {Status, "application/problem+json", "", Body.dump() + "\n"};
}

std::string_view effectName(fleet::submission_effect Effect) {
  switch (Effect) {
  case fleet::submission_effect::No:
    return "no";
  case fleet::submission_effect::Yes:
    return "yes";
  case fleet::submission_effect::Unknown:
    break;
  }
  return "unknown";
}

std::string_view statusCode(fleet::submission_status Status) {
  switch (Status) {
  case fleet::submission_status::Accepted:
    return "accepted";
  case fleet::submission_status::StoredUnconfirmed:
    return "stored_not_yet_confirmed";
  case fleet::submission_status::Conflict:
    return "version_conflict";
  case fleet::submission_status::Invalid:
    return "patch_invalid";
  case fleet::submission_status::StoreUnavailable:
    break;
  }
  return "store_unavailable";
}

operator_reply submissionReply(const fleet::submission_result &Result) {
  base::json Body = base::json::object();
  Body["code"] = statusCode(Result.Status);
  Body["ran"] = effectName(Result.Ran);
  if (Result.Version != 0)
    Body["version"] = Result.Version;
  if (Result.CurrentVersion != 0)
    Body["current_version"] = Result.CurrentVersion;
  if (!Result.Errors.empty())
    Body["errors"] = fleet::formatErrors(Result.Errors);
  if (Result.Failure)
    Body["detail"] = base::toString(Result.Failure);
  auto Version =
      Result.CurrentVersion != 0 ? Result.CurrentVersion : Result.Version;
  operator_reply Reply;
  Reply.Status = fleet::httpStatus(Result.Status);
  Reply.Version = Version != 0 ? std::to_string(Version) : "";
  Reply.Body = Body.dump() + "\n";
  return Reply;
}

} // namespace

void relay::on(operator_request_received &&Event) {
  switch (Event.Request.Action) {
  case operator_action::PatchConfiguration:
    submitPatch(Event.Reply, Event.Request);
    return;
  case operator_action::ReadHistory:
    readHistory(Event.Reply);
    return;
  case operator_action::Drain:
    Outputs.replyToOperator(Event.Reply, {202, "application/json", "", "{}\n"});
    apply(Drain.start(Now));
    return;
  default:
    Outputs.replyToOperator(Event.Reply, immediateReply(Event.Request.Action));
  }
}

operator_reply relay::immediateReply(operator_action Action) const {
  switch (Action) {
  case operator_action::ReadConfiguration: {
    if (!View)
      return refusal(503, "configuration_missing",
                     "the host has no configuration yet");
    const fleet::configuration_document &Document =
        View->Configuration.document();
    return {200, "application/json", std::to_string(Document.Version),
            fleet::formatConfigurationRedacted(Document).dump(2) + "\n"};
  }
  case operator_action::DumpState:
    return {200, "application/json", "", dump().dump(2) + "\n"};
  case operator_action::ReadAudit:
    return {200, "application/jsonl", "", Audit.jsonLines()};
  case operator_action::ReadMetrics:
    return {200, "text/plain; version=0.0.4", "", Metrics.prometheusText()};
  case operator_action::CheckReady:
    if (!isReady())
      return {503, "text/plain", "", "not ready\n"};
    return {200, "text/plain", "", "ready\n"};
  default:
    return {200, "text/plain", "", "live\n"};
  }
}

bool relay::isReady() const {
  return View && HeldSlot && Drain.isReady() && Fleet.isFresh(Now);
}

void relay::reportReady() {
  if (ReportedReady || !isReady())
    return;
  for (const auto &[Id, Group] : Groups)
    if (!Group.Runtime->view().Primary)
      return;
  ReportedReady = true;
  base::json Fields = base::json::object();
  Fields["version"] = View->Configuration.version();
  Outputs.log(base::log_level::Info, "ready", Fields);
}

void relay::submitPatch(reply_id Reply, const operator_request &Request) {
  base::json Body = base::json::parse(Request.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("operations") ||
      !Body.value("reason", base::json()).is_string() ||
      !Body.value("submission", base::json()).is_string()) {
    Outputs.replyToOperator(
        Reply, refusal(400, "body_malformed",
                       "expected {\"reason\",\"submission\",\"operations\"}"));
    return;
  }
  Poco::UInt64 Expected = 0;
  if (!Poco::NumberParser::tryParseUnsigned64(Request.ExpectedVersion,
                                              Expected)) {
    Outputs.replyToOperator(
        Reply, refusal(428, "version_required",
                       "send the version of the configuration in If-Match"));
    return;
  }
  auto Patch = fleet::parsePatch(Body["operations"]);
  if (!Patch) {
    base::json Errors = base::json::object();
    Errors["code"] = "patch_invalid";
    Errors["ran"] = "no";
    Errors["errors"] = fleet::formatErrors(Patch.error());
    Outputs.replyToOperator(
        Reply, {422, "application/problem+json", "", Errors.dump() + "\n"});
    return;
  }
  fleet::configuration_submission Submission;
  Submission.Id = Body["submission"];
  Submission.Author = Request.Operator;
  Submission.Reason = Body["reason"];
  Submission.Time = Poco::DateTimeFormatter::format(
      Poco::Timestamp(), Poco::DateTimeFormat::ISO8601_FORMAT);
  Submission.ExpectedVersion = Expected;
  Submission.Patch = std::move(*Patch);
  Fleet.submit(
      Submission, Now + SubmissionTimeout,
      [this, Reply](const fleet::submission_result &Result) {
        Outputs.replyToOperator(Reply, submissionReply(Result));
      },
      Now);
}

void relay::readHistory(reply_id Reply) {
  std::uint64_t Id = HistoryIdBase + Reply;
  HistoryReads.emplace(Id, Reply);
  bool Sent = Outputs.submitToPlatform(
      {platform_channel::Configuration, Id,
       base::store_request(base::read_table{fleet::historyRow(0).Table}),
       Now + Options.PlatformTimeout});
  if (!Sent && HistoryReads.erase(Id))
    Outputs.replyToOperator(
        Reply, refusal(503, "store_unavailable", "too many store requests"));
}

void relay::finishHistory(reply_id Reply, const base::store_answer &Answer) {
  if (Answer.Outcome != base::store_outcome::Done) {
    Outputs.replyToOperator(Reply, refusal(503, "store_unavailable",
                                           base::toString(Answer.Failure)));
    return;
  }
  // The store sorts rows by key as text; the history is sorted by version
  // number.
  std::map<fleet::configuration_version, std::string> Lines;
  for (const base::table_row &Row : Answer.Rows)
    if (auto Record = fleet::parseHistory(Row.Value)) {
      base::json Entry = fleet::formatHistory(*Record);
      Entry.erase("digest");
      Lines[Record->Version] = Entry.dump() + "\n";
    }
  operator_reply Result;
  Result.ContentType = "application/jsonl";
  for (const auto &[Version, Line] : Lines)
    Result.Body += Line;
  Outputs.replyToOperator(Reply, std::move(Result));
}

void relay::on(stop_requested &&) { apply(Drain.start(Now)); }

void relay::advanceDrain() {
  if (Drain.isReady())
    return;
  std::size_t Running = TasksByCaller.size() + Transactions.openCount();
  // The transfer also releases the slot. A host without a slot may hold no
  // connections and could not acknowledge running writes, so the transfer
  // starts only when no work runs.
  if (IsShareTransferDue && Running == 0 && !HasShareTransferStarted) {
    HasShareTransferStarted = true;
    Limits.drain(Now);
  }
  apply(Drain.onRunning(Running, Now));
  if (HasShareTransferStarted && Limits.drained(Now))
    apply(Drain.onHandedOver(Now));
  apply(Drain.tick(Now));
}

void relay::apply(const fleet::drain_actions &Actions) {
  for (const fleet::drain_action &Action : Actions)
    std::visit([this](const auto &Content) { on(Content); }, Action);
}

void relay::on(const fleet::disable_readiness &) {
  Outputs.log(base::log_level::Info, "drain started", base::json::object());
  Fleet.announce(fleet::member_state::Leaving, Now);
}

void relay::on(const fleet::refuse_new_work &) {
  Outputs.log(base::log_level::Info, "drain refuses new work",
              base::json::object());
}

void relay::on(const fleet::return_loans &) { IsShareTransferDue = true; }

void relay::on(const fleet::transfer_shares &) { IsShareTransferDue = true; }

void relay::on(const fleet::abort_running_work &) {
  base::json Fields = base::json::object();
  Fields["requests"] = TasksByCaller.size();
  Outputs.log(base::log_level::Warning, "drain timed out", Fields);
}

void relay::on(const fleet::stop_process &) {
  Fleet.announce(fleet::member_state::Gone, Now);
  Outputs.finished();
}

} // namespace radishrelay::daemon
