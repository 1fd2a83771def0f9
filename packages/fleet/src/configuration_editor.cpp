#include "radishrelay/fleet/configuration_editor.h"

#include "submission_record.h"

#include "radishrelay/fleet/configuration_rows.h"
#include "radishrelay/fleet/witness_majority.h"

#include <algorithm>

namespace radishrelay::fleet {

namespace {

submission_result invalid(std::string Place, std::string Message) {
  submission_result Result;
  Result.Status = submission_status::Invalid;
  Result.Errors.push_back({std::move(Place), std::move(Message)});
  return Result;
}

bool hasOwnOperation(const configuration_patch &Patch) {
  return std::any_of(Patch.begin(), Patch.end(), [](const auto &Operation) {
    return std::holds_alternative<confirm_witnesses>(Operation);
  });
}

} // namespace

int httpStatus(submission_status Status) {
  constexpr int Statuses[] = {200, 202, 412, 422, 503};
  return Statuses[static_cast<std::size_t>(Status)];
}

configuration_editor::configuration_editor(const editor_options &Options)
    : Options(Options) {}

editor_actions
configuration_editor::submit(const configuration_submission &Submission,
                             base::time_point Now, base::time_point Deadline) {
  editor_actions Actions;
  auto Refuse = [&](const char *Place, const char *Message) {
    Actions.push_back(
        submission_finished{Submission.Id, invalid(Place, Message)});
    return Actions;
  };
  if (Submission.Id.empty())
    return Refuse("submission", "must not be empty");
  if (Submission.Author.empty())
    return Refuse("author", "must not be empty");
  bool Own = Submission.Author == Options.OwnAuthor;
  if (hasOwnOperation(Submission.Patch) && !Own)
    return Refuse("operations", "confirm_witnesses cannot be submitted");
  std::string Digest = detail::patchDigest(Submission.Patch);
  if (auto Found = Works.find(Submission.Id); Found != Works.end()) {
    if (Found->second.PatchDigest != Digest)
      return Refuse("submission", detail::OtherPatchMessage);
    return Actions;
  }
  work &Work = Works[Submission.Id];
  Work.Submission = Submission;
  Work.PatchDigest = std::move(Digest);
  Work.Deadline = Deadline;
  Work.RetryAt = Now;
  send(Work, Actions);
  return Actions;
}

base::store_request configuration_editor::requestOf(const work &Work) const {
  if (Work.Stage == stage::FindRepeat)
    return base::read_row{submissionRow(Work.Submission.Id)};
  if (Work.Stage == stage::ReadCurrent)
    return base::read_row{currentRow()};
  return transactionOf(Work);
}

base::store_transaction
configuration_editor::transactionOf(const work &Work) const {
  const configuration_submission &Submission = Work.Submission;
  std::string Digest = configurationDigest(*Work.Document);
  history_record Record{Work.Document->Version,
                        Submission.Author,
                        Submission.Reason,
                        Submission.Id,
                        Submission.Time,
                        Submission.Patch,
                        Digest};
  base::row_key History = historyRow(Work.Document->Version);
  base::row_key Row = submissionRow(Submission.Id);
  base::store_transaction Transaction;
  Transaction.Conditions = {
      {currentRow(), Work.CurrentRowVersion}, {History, 0}, {Row, 0}};
  Transaction.Writes = {
      {currentRow(), formatConfiguration(*Work.Document)},
      {versionRow(), {{"version", Work.Document->Version}, {"digest", Digest}}},
      {History, formatHistory(Record)},
      {Row, detail::formatSubmissionRecord(
                {Work.Document->Version, Work.PatchDigest})}};
  return Transaction;
}

void configuration_editor::send(work &Work, editor_actions &Actions) {
  Work.RequestId = ++LastId;
  Requests[Work.RequestId] = Work.Submission.Id;
  Actions.push_back(use_store{Work.RequestId, requestOf(Work)});
}

editor_actions configuration_editor::onStoreAnswer(
    std::uint64_t Id, const base::store_answer &Answer, base::time_point Now) {
  editor_actions Actions;
  auto Request = Requests.find(Id);
  if (Request == Requests.end())
    return Actions;
  auto Found = Works.find(Request->second);
  Requests.erase(Request);
  if (Found == Works.end() || Found->second.RequestId != Id)
    return Actions;
  work &Work = Found->second;
  Work.RequestId = 0;
  bool Failed = Answer.Outcome == base::store_outcome::Unknown ||
                Answer.Outcome == base::store_outcome::NotDone;
  if (Failed)
    retry(Work, Answer, Now);
  else
    advance(Work, Answer, Now, Actions);
  removeFinished();
  return Actions;
}

void configuration_editor::retry(work &Work, const base::store_answer &Answer,
                                 base::time_point Now) {
  Work.Failure = Answer.Failure;
  if (Work.Stage == stage::Write &&
      Answer.Outcome == base::store_outcome::Unknown)
    Work.MayHaveRun = true;
  Work.RetryPause = std::clamp(Work.RetryPause * 2, Options.FirstRetryPause,
                               Options.LongestRetryPause);
  Work.RetryAt = Now + Work.RetryPause;
}

void configuration_editor::advance(work &Work, const base::store_answer &Answer,
                                   base::time_point Now,
                                   editor_actions &Actions) {
  Work.RetryPause = base::duration(0);
  if (Work.Stage == stage::Write)
    return onWriteAnswer(Work, Answer, Now, Actions);
  if (Answer.Rows.empty())
    return retry(Work, Answer, Now);
  if (Work.Stage == stage::FindRepeat)
    return onSubmissionRow(Work, Answer.Rows.front(), Actions);
  onCurrentRow(Work, Answer.Rows.front(), Now, Actions);
}

void configuration_editor::onSubmissionRow(work &Work,
                                           const base::table_row &Row,
                                           editor_actions &Actions) {
  if (Row.Version != 0 && !recordRepeat(Work, Row.Value, Actions))
    return;
  Work.Stage = stage::ReadCurrent;
  send(Work, Actions);
}

bool configuration_editor::recordRepeat(work &Work, const base::json &Value,
                                        editor_actions &Actions) {
  auto Record = detail::parseSubmissionRecord(Value);
  if (!Record || Record->PatchDigest != Work.PatchDigest) {
    finish(Work, invalid("submission", detail::OtherPatchMessage), Actions);
    return false;
  }
  Work.Version = Record->Version;
  return true;
}

void configuration_editor::onCurrentRow(work &Work, const base::table_row &Row,
                                        base::time_point Now,
                                        editor_actions &Actions) {
  Work.CurrentRowVersion = Row.Version;
  if (Row.Version == 0)
    return prepare(Work, Options.Initial, Actions);
  auto Current = parseConfiguration(Row.Value);
  if (!Current) {
    submission_result Result;
    Result.Status = submission_status::StoreUnavailable;
    Result.Ran =
        Work.Version != 0 ? submission_effect::Yes : submission_effect::No;
    Result.Version = Work.Version;
    Result.Errors = Current.error();
    return finish(Work, std::move(Result), Actions);
  }
  if (Work.Version == 0)
    return prepare(Work, *Current, Actions);
  Work.Document =
      std::make_shared<const configuration_document>(std::move(*Current));
  startConfirming(Work, Now, Actions);
}

void configuration_editor::prepare(work &Work,
                                   const configuration_document &Current,
                                   editor_actions &Actions) {
  submission_result Result;
  Result.CurrentVersion = Current.Version;
  if (Current.Version != Work.Submission.ExpectedVersion) {
    Result.Status = submission_status::Conflict;
    return finish(Work, std::move(Result), Actions);
  }
  auto Next = applyPatch(Current, Work.Submission.Patch);
  if (!Next) {
    Result.Status = submission_status::Invalid;
    Result.Errors = Next.error();
    return finish(Work, std::move(Result), Actions);
  }
  Work.Document =
      std::make_shared<const configuration_document>(std::move(*Next));
  Work.Stage = stage::Write;
  send(Work, Actions);
}

void configuration_editor::onWriteAnswer(work &Work,
                                         const base::store_answer &Answer,
                                         base::time_point Now,
                                         editor_actions &Actions) {
  if (Answer.Outcome == base::store_outcome::Done) {
    Work.Version = Work.Document->Version;
    return startConfirming(Work, Now, Actions);
  }
  submission_result Result;
  Result.Status = submission_status::Conflict;
  for (const base::table_row &Row : Answer.Rows) {
    if (Row.Key == submissionRow(Work.Submission.Id)) {
      // The transaction took effect earlier, here or on another host.
      if (!recordRepeat(Work, Row.Value, Actions))
        return;
      Work.Stage = stage::ReadCurrent;
      return send(Work, Actions);
    }
    if (Row.Key == currentRow() && Row.Value.is_object())
      Result.CurrentVersion =
          Row.Value.value("version", configuration_version());
  }
  finish(Work, std::move(Result), Actions);
}

void configuration_editor::finish(work &Work, submission_result Result,
                                  editor_actions &Actions) {
  Actions.push_back(submission_finished{Work.Submission.Id, std::move(Result)});
  Finished.push_back(Work.Submission.Id);
}

void configuration_editor::removeFinished() {
  for (const std::string &Id : Finished) {
    Works.erase(Id);
    std::erase_if(Offers, [&](const auto &Entry) {
      return Entry.second.Submission == Id;
    });
    std::erase_if(Requests,
                  [&](const auto &Entry) { return Entry.second == Id; });
  }
  Finished.clear();
}

base::json configuration_editor::dump() const {
  constexpr const char *Names[] = {"find_repeat", "read_current", "write",
                                   "confirm"};
  base::json Items = base::json::array();
  for (const auto &[Id, Work] : Works)
    Items.push_back({{"submission", Id},
                     {"author", Work.Submission.Author},
                     {"stage", Names[static_cast<std::size_t>(Work.Stage)]},
                     {"version", Work.Version},
                     {"may_have_run", Work.MayHaveRun},
                     {"witnesses", Work.HeldSince.size()}});
  return {{"submissions", std::move(Items)}};
}

} // namespace radishrelay::fleet
