#include "radishrelay/fleet/configuration_editor.h"
#include "radishrelay/fleet/witness_majority.h"

namespace radishrelay::fleet {

void configuration_editor::startConfirming(work &Work, base::time_point Now,
                                           editor_actions &Actions) {
  Work.Stage = stage::Confirm;
  Actions.push_back(offer_to_replica{Work.Document});
  offerToWitnesses(Work, Now, Actions);
  checkConfirmed(Work, Now, Actions);
}

void configuration_editor::offerToWitnesses(work &Work, base::time_point Now,
                                            editor_actions &Actions) {
  Work.OfferedAt = Now;
  for (const base::host_id &Host : allWitnesses(*Work.Document)) {
    auto Held = Work.HeldSince.find(Host);
    bool Recent = Held != Work.HeldSince.end() &&
                  Now - Held->second < Options.AcknowledgementWindow / 2;
    if (Recent)
      continue;
    Offers[++LastId] = {Work.Submission.Id, Host, Now};
    Actions.push_back(store_at_witness{LastId, Host, Work.Document});
  }
}

editor_actions configuration_editor::onWitnessAnswer(std::uint64_t Sequence,
                                                     configuration_version Held,
                                                     base::time_point Now) {
  editor_actions Actions;
  auto Found = Offers.find(Sequence);
  if (Found == Offers.end())
    return Actions;
  offer Offer = Found->second;
  Offers.erase(Found);
  auto Entry = Works.find(Offer.Submission);
  // A repetition offers the current document, which may be newer than the one
  // that the submission led to; the rules of its witness lists apply to it.
  if (Entry == Works.end() || Held < Entry->second.Document->Version)
    return Actions;
  work &Work = Entry->second;
  base::time_point &Since = Work.HeldSince[Offer.Host];
  Since = std::max(Since, Offer.AskedAt);
  checkConfirmed(Work, Now, Actions);
  removeFinished();
  return Actions;
}

void configuration_editor::checkConfirmed(work &Work, base::time_point Now,
                                          editor_actions &Actions) {
  auto At = majorityAskedAt(
      *Work.Document,
      [&](const base::host_id &Host) -> std::optional<base::time_point> {
        auto Held = Work.HeldSince.find(Host);
        if (Held == Work.HeldSince.end())
          return std::nullopt;
        return Held->second;
      });
  bool Majority = At && Now - *At <= Options.AcknowledgementWindow;
  if (!Majority && !Work.Document->Witnesses.empty())
    return;
  submission_result Result;
  Result.Status = submission_status::Accepted;
  Result.Ran = submission_effect::Yes;
  Result.Version = Work.Version;
  Result.CurrentVersion = Work.Document->Version;
  finish(Work, std::move(Result), Actions);
  endWitnessChange(*Work.Document, Now, Actions);
}

void configuration_editor::endWitnessChange(
    const configuration_document &Document, base::time_point Now,
    editor_actions &Actions) {
  if (Document.PreviousWitnesses.empty())
    return;
  configuration_submission Own;
  Own.Id = "confirm-witnesses-" + std::to_string(Document.Version);
  Own.Author = Options.OwnAuthor;
  Own.Reason = "majorities of both lists of witnesses hold version " +
               std::to_string(Document.Version);
  Own.ExpectedVersion = Document.Version;
  Own.Patch = {confirm_witnesses{}};
  for (editor_action &Action : submit(Own, Now, Now + Options.OwnTimeout))
    Actions.push_back(std::move(Action));
}

void configuration_editor::finishLate(work &Work, editor_actions &Actions) {
  submission_result Result;
  Result.Failure = Work.Failure;
  Result.Version = Work.Version;
  bool Stored = Work.Version != 0;
  bool InFlight = Work.Stage == stage::Write && Work.RequestId != 0;
  if (Stored && Work.Stage == stage::Confirm) {
    Result.Status = submission_status::StoredUnconfirmed;
    Result.Ran = submission_effect::Yes;
    Result.CurrentVersion = Work.Document->Version;
    return finish(Work, std::move(Result), Actions);
  }
  Result.Status = Stored ? submission_status::StoredUnconfirmed
                         : submission_status::StoreUnavailable;
  if (Stored)
    Result.Ran = submission_effect::Yes;
  else if (InFlight || Work.MayHaveRun)
    Result.Ran = submission_effect::Unknown;
  finish(Work, std::move(Result), Actions);
}

editor_actions configuration_editor::tick(base::time_point Now) {
  editor_actions Actions;
  std::erase_if(Offers, [&](const auto &Entry) {
    return Now - Entry.second.AskedAt > Options.AcknowledgementWindow;
  });
  for (auto &[Id, Work] : Works) {
    if (Now >= Work.Deadline) {
      finishLate(Work, Actions);
      continue;
    }
    bool Confirming = Work.Stage == stage::Confirm;
    if (Confirming && Now - *Work.OfferedAt >= Options.OfferInterval)
      offerToWitnesses(Work, Now, Actions);
    if (!Confirming && Work.RequestId == 0 && Now >= Work.RetryAt)
      send(Work, Actions);
  }
  removeFinished();
  return Actions;
}

} // namespace radishrelay::fleet
