#include "radishrelay/fleet/configuration_editor.h"

#include "submission_record.h"

#include "radishrelay/fleet/configuration_rows.h"
#include "radishrelay/fleet/witness_majority.h"

#include <algorithm>

namespace radishrelay::fleet {

namespace {

submission_result invalidResult(std::string Place, std::string Message) {
  submission_result Result;
  Result.Status = submission_status::Invalid;
  Result.Errors.push_back({std::move(Place), std::move(Message)});
  return Result;
}

/// Returns true if the patch holds an operation that only the editor submits.
bool hasInternalOperation(const configuration_patch &Patch) {
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
        submission_finished{Submission.Id, invalidResult(Place, Message)});
    return Actions;
  };
  if (Submission.Id.empty())
    return Refuse("submission", "must not be empty");
  if (Submission.Author.empty())
    return Refuse("author", "must not be empty");
  bool IsInternal = Submission.Author == Options.InternalAuthor;
  if (hasInternalOperation(Submission.Patch) && !IsInternal)
    return Refuse("operations", "confirm_witnesses cannot be submitted");
  std::string Digest = detail::patchDigest(Submission.Patch);
  if (auto Found = PendingSubmissions.find(Submission.Id);
      Found != PendingSubmissions.end()) {
    if (Found->second.PatchDigest != Digest)
      return Refuse("submission", detail::OtherPatchMessage);
    return Actions;
  }
  pending_submission &Pending = PendingSubmissions[Submission.Id];
  Pending.Submission = Submission;
  Pending.PatchDigest = std::move(Digest);
  Pending.Deadline = Deadline;
  Pending.RetryAt = Now;
  sendStoreRequest(Pending, Actions);
  return Actions;
}

base::store_request
configuration_editor::makeRequest(const pending_submission &Pending) const {
  if (Pending.Stage == stage::FindRepeat)
    return base::read_row{submissionRow(Pending.Submission.Id)};
  if (Pending.Stage == stage::ReadCurrent)
    return base::read_row{currentRow()};
  return makeTransaction(Pending);
}

base::store_transaction
configuration_editor::makeTransaction(const pending_submission &Pending) const {
  const configuration_submission &Submission = Pending.Submission;
  std::string Digest = configurationDigest(*Pending.Document);
  history_record Record{Pending.Document->Version,
                        Submission.Author,
                        Submission.Reason,
                        Submission.Id,
                        Submission.Time,
                        Submission.Patch,
                        Digest};
  base::row_key History = historyRow(Pending.Document->Version);
  base::row_key Row = submissionRow(Submission.Id);
  base::store_transaction Transaction;
  Transaction.Conditions = {
      {currentRow(), Pending.CurrentRowVersion}, {History, 0}, {Row, 0}};
  Transaction.Writes = {
      {currentRow(), formatConfiguration(*Pending.Document)},
      {versionRow(),
       {{"version", Pending.Document->Version}, {"digest", Digest}}},
      {History, formatHistory(Record)},
      {Row, detail::formatSubmissionRecord(
                {Pending.Document->Version, Pending.PatchDigest})}};
  return Transaction;
}

void configuration_editor::sendStoreRequest(pending_submission &Pending,
                                            editor_actions &Actions) {
  Pending.RequestId = ++LastId;
  Requests[Pending.RequestId] = Pending.Submission.Id;
  Actions.push_back(
      send_store_request{Pending.RequestId, makeRequest(Pending)});
}

editor_actions configuration_editor::onStoreAnswer(
    std::uint64_t Id, const base::store_answer &Answer, base::time_point Now) {
  editor_actions Actions;
  auto Request = Requests.find(Id);
  if (Request == Requests.end())
    return Actions;
  auto Found = PendingSubmissions.find(Request->second);
  Requests.erase(Request);
  if (Found == PendingSubmissions.end() || Found->second.RequestId != Id)
    return Actions;
  pending_submission &Pending = Found->second;
  Pending.RequestId = 0;
  bool Failed = Answer.Outcome == base::store_outcome::Unknown ||
                Answer.Outcome == base::store_outcome::NotDone;
  if (Failed)
    scheduleRetry(Pending, Answer, Now);
  else
    advance(Pending, Answer, Now, Actions);
  removeFinished();
  return Actions;
}

void configuration_editor::scheduleRetry(pending_submission &Pending,
                                         const base::store_answer &Answer,
                                         base::time_point Now) {
  Pending.Failure = Answer.Failure;
  if (Pending.Stage == stage::Write &&
      Answer.Outcome == base::store_outcome::Unknown)
    Pending.MayHaveRun = true;
  Pending.Backoff = std::clamp(Pending.Backoff * 2, Options.InitialBackoff,
                               Options.MaxBackoff);
  Pending.RetryAt = Now + Pending.Backoff;
}

void configuration_editor::advance(pending_submission &Pending,
                                   const base::store_answer &Answer,
                                   base::time_point Now,
                                   editor_actions &Actions) {
  Pending.Backoff = base::duration(0);
  if (Pending.Stage == stage::Write)
    return onWriteAnswer(Pending, Answer, Now, Actions);
  if (Answer.Rows.empty())
    return scheduleRetry(Pending, Answer, Now);
  if (Pending.Stage == stage::FindRepeat)
    return onSubmissionRow(Pending, Answer.Rows.front(), Actions);
  onCurrentRow(Pending, Answer.Rows.front(), Now, Actions);
}

void configuration_editor::onSubmissionRow(pending_submission &Pending,
                                           const base::table_row &Row,
                                           editor_actions &Actions) {
  if (Row.Version != 0 && !resumeFromRecord(Pending, Row.Value, Actions))
    return;
  Pending.Stage = stage::ReadCurrent;
  sendStoreRequest(Pending, Actions);
}

bool configuration_editor::resumeFromRecord(pending_submission &Pending,
                                            const base::json &Value,
                                            editor_actions &Actions) {
  auto Record = detail::parseSubmissionRecord(Value);
  if (!Record || Record->PatchDigest != Pending.PatchDigest) {
    finish(Pending, invalidResult("submission", detail::OtherPatchMessage),
           Actions);
    return false;
  }
  Pending.Version = Record->Version;
  return true;
}

void configuration_editor::onCurrentRow(pending_submission &Pending,
                                        const base::table_row &Row,
                                        base::time_point Now,
                                        editor_actions &Actions) {
  Pending.CurrentRowVersion = Row.Version;
  if (Row.Version == 0)
    return prepareWrite(Pending, Options.InitialDocument, Actions);
  auto Current = parseConfiguration(Row.Value);
  if (!Current) {
    submission_result Result;
    Result.Status = submission_status::StoreUnavailable;
    Result.Ran =
        Pending.Version != 0 ? submission_effect::Yes : submission_effect::No;
    Result.Version = Pending.Version;
    Result.Errors = Current.error();
    return finish(Pending, std::move(Result), Actions);
  }
  if (Pending.Version == 0)
    return prepareWrite(Pending, *Current, Actions);
  Pending.Document =
      std::make_shared<const configuration_document>(std::move(*Current));
  startConfirming(Pending, Now, Actions);
}

void configuration_editor::prepareWrite(pending_submission &Pending,
                                        const configuration_document &Current,
                                        editor_actions &Actions) {
  submission_result Result;
  Result.CurrentVersion = Current.Version;
  if (Current.Version != Pending.Submission.ExpectedVersion) {
    Result.Status = submission_status::Conflict;
    return finish(Pending, std::move(Result), Actions);
  }
  auto Next = applyPatch(Current, Pending.Submission.Patch);
  if (!Next) {
    Result.Status = submission_status::Invalid;
    Result.Errors = Next.error();
    return finish(Pending, std::move(Result), Actions);
  }
  Pending.Document =
      std::make_shared<const configuration_document>(std::move(*Next));
  Pending.Stage = stage::Write;
  sendStoreRequest(Pending, Actions);
}

void configuration_editor::onWriteAnswer(pending_submission &Pending,
                                         const base::store_answer &Answer,
                                         base::time_point Now,
                                         editor_actions &Actions) {
  if (Answer.Outcome == base::store_outcome::Done) {
    Pending.Version = Pending.Document->Version;
    return startConfirming(Pending, Now, Actions);
  }
  submission_result Result;
  Result.Status = submission_status::Conflict;
  for (const base::table_row &Row : Answer.Rows) {
    if (Row.Key == submissionRow(Pending.Submission.Id)) {
      // An earlier attempt, by this or another host, already took effect.
      if (!resumeFromRecord(Pending, Row.Value, Actions))
        return;
      Pending.Stage = stage::ReadCurrent;
      return sendStoreRequest(Pending, Actions);
    }
    if (Row.Key == currentRow() && Row.Value.is_object())
      Result.CurrentVersion =
          Row.Value.value("version", configuration_version());
  }
  finish(Pending, std::move(Result), Actions);
}

void configuration_editor::finish(pending_submission &Pending,
                                  submission_result Result,
                                  editor_actions &Actions) {
  Actions.push_back(
      submission_finished{Pending.Submission.Id, std::move(Result)});
  Finished.push_back(Pending.Submission.Id);
}

void configuration_editor::removeFinished() {
  for (const std::string &Id : Finished) {
    PendingSubmissions.erase(Id);
    std::erase_if(PendingOffers, [&](const auto &Entry) {
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
  for (const auto &[Id, Pending] : PendingSubmissions)
    Items.push_back({{"submission", Id},
                     {"author", Pending.Submission.Author},
                     {"stage", Names[static_cast<std::size_t>(Pending.Stage)]},
                     {"version", Pending.Version},
                     {"may_have_run", Pending.MayHaveRun},
                     {"witnesses", Pending.AcknowledgedOfferAt.size()}});
  return {{"submissions", std::move(Items)}};
}

} // namespace radishrelay::fleet
