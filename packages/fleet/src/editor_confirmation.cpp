#include "radishrelay/fleet/configuration_editor.h"
#include "radishrelay/fleet/witness_majority.h"

namespace radishrelay::fleet {

void configuration_editor::startConfirming(pending_submission &Pending,
                                           base::time_point Now,
                                           editor_actions &Actions) {
  Pending.Stage = stage::Confirm;
  Actions.push_back(offer_to_replica{Pending.Document});
  offerToWitnesses(Pending, Now, Actions);
  finishIfConfirmed(Pending, Now, Actions);
}

void configuration_editor::offerToWitnesses(pending_submission &Pending,
                                            base::time_point Now,
                                            editor_actions &Actions) {
  Pending.OfferedAt = Now;
  for (const base::host_id &Host : allWitnesses(*Pending.Document)) {
    auto Acknowledged = Pending.AcknowledgedOfferAt.find(Host);
    bool IsRecent =
        Acknowledged != Pending.AcknowledgedOfferAt.end() &&
        Now - Acknowledged->second < Options.AcknowledgementWindow / 2;
    if (IsRecent)
      continue;
    PendingOffers[++LastId] = {Pending.Submission.Id, Host, Now};
    Actions.push_back(store_at_witness{LastId, Host, Pending.Document});
  }
}

editor_actions
configuration_editor::onWitnessAnswer(std::uint64_t Sequence,
                                      configuration_version HeldVersion,
                                      base::time_point Now) {
  editor_actions Actions;
  auto Found = PendingOffers.find(Sequence);
  if (Found == PendingOffers.end())
    return Actions;
  pending_offer Offer = Found->second;
  PendingOffers.erase(Found);
  auto Entry = PendingSubmissions.find(Offer.Submission);
  // A repeated submission offers the current document, which may be newer than
  // the version that the submission created. The witness lists of the offered
  // document decide what counts as a majority.
  if (Entry == PendingSubmissions.end() ||
      HeldVersion < Entry->second.Document->Version)
    return Actions;
  pending_submission &Pending = Entry->second;
  base::time_point &LatestOfferAt = Pending.AcknowledgedOfferAt[Offer.Host];
  LatestOfferAt = std::max(LatestOfferAt, Offer.AskedAt);
  finishIfConfirmed(Pending, Now, Actions);
  removeFinished();
  return Actions;
}

void configuration_editor::finishIfConfirmed(pending_submission &Pending,
                                             base::time_point Now,
                                             editor_actions &Actions) {
  auto At = majorityAskedAt(
      *Pending.Document,
      [&](const base::host_id &Host) -> std::optional<base::time_point> {
        auto Acknowledged = Pending.AcknowledgedOfferAt.find(Host);
        if (Acknowledged == Pending.AcknowledgedOfferAt.end())
          return std::nullopt;
        return Acknowledged->second;
      });
  bool Majority = At && Now - *At <= Options.AcknowledgementWindow;
  if (!Majority && !Pending.Document->Witnesses.empty())
    return;
  submission_result Result;
  Result.Status = submission_status::Accepted;
  Result.Ran = submission_effect::Yes;
  Result.Version = Pending.Version;
  Result.CurrentVersion = Pending.Document->Version;
  finish(Pending, std::move(Result), Actions);
  submitWitnessConfirmation(*Pending.Document, Now, Actions);
}

void configuration_editor::submitWitnessConfirmation(
    const configuration_document &Document, base::time_point Now,
    editor_actions &Actions) {
  if (Document.PreviousWitnesses.empty())
    return;
  configuration_submission Confirmation;
  Confirmation.Id = "confirm-witnesses-" + std::to_string(Document.Version);
  Confirmation.Author = Options.InternalAuthor;
  Confirmation.Reason = "majorities of both lists of witnesses hold version " +
                        std::to_string(Document.Version);
  Confirmation.ExpectedVersion = Document.Version;
  Confirmation.Patch = {confirm_witnesses{}};
  for (editor_action &Action :
       submit(Confirmation, Now, Now + Options.InternalTimeout))
    Actions.push_back(std::move(Action));
}

void configuration_editor::finishTimedOut(pending_submission &Pending,
                                          editor_actions &Actions) {
  submission_result Result;
  Result.Failure = Pending.Failure;
  Result.Version = Pending.Version;
  bool Stored = Pending.Version != 0;
  bool InFlight = Pending.Stage == stage::Write && Pending.RequestId != 0;
  if (Stored && Pending.Stage == stage::Confirm) {
    Result.Status = submission_status::StoredUnconfirmed;
    Result.Ran = submission_effect::Yes;
    Result.CurrentVersion = Pending.Document->Version;
    return finish(Pending, std::move(Result), Actions);
  }
  Result.Status = Stored ? submission_status::StoredUnconfirmed
                         : submission_status::StoreUnavailable;
  if (Stored)
    Result.Ran = submission_effect::Yes;
  else if (InFlight || Pending.MayHaveRun)
    Result.Ran = submission_effect::Unknown;
  finish(Pending, std::move(Result), Actions);
}

editor_actions configuration_editor::tick(base::time_point Now) {
  editor_actions Actions;
  std::erase_if(PendingOffers, [&](const auto &Entry) {
    return Now - Entry.second.AskedAt > Options.AcknowledgementWindow;
  });
  for (auto &[Id, Pending] : PendingSubmissions) {
    if (Now >= Pending.Deadline) {
      finishTimedOut(Pending, Actions);
      continue;
    }
    bool Confirming = Pending.Stage == stage::Confirm;
    if (Confirming && Now - *Pending.OfferedAt >= Options.OfferInterval)
      offerToWitnesses(Pending, Now, Actions);
    if (!Confirming && Pending.RequestId == 0 && Now >= Pending.RetryAt)
      sendStoreRequest(Pending, Actions);
  }
  removeFinished();
  return Actions;
}

} // namespace radishrelay::fleet
