#ifndef RADISHRELAY_FLEET_CONFIGURATION_EDITOR_H
#define RADISHRELAY_FLEET_CONFIGURATION_EDITOR_H

#include "radishrelay/base/store_answer.h"
#include "radishrelay/fleet/configuration_submission.h"
#include "radishrelay/fleet/editor_action.h"
#include "radishrelay/fleet/editor_options.h"

#include <map>
#include <optional>
#include <string>

namespace radishrelay::fleet {

/// Writes submitted patches to the store and then replicates the resulting
/// document to the witnesses.
///
/// The new document, its history record and the record of the submission are
/// written in one conditional transaction. If the answer to the transaction is
/// lost, the editor sends it again; its conditions ensure that it takes effect
/// at most once. The class performs no I/O: the caller executes the returned
/// actions and passes the answers back.
class configuration_editor {
public:
  explicit configuration_editor(const editor_options &Options = {});

  /// Starts a submission; the first tick after \p Deadline ends it. If the same
  /// submission is already in progress, the call starts nothing and the
  /// existing submission_finished action answers both. Reusing the identifier
  /// for another patch is an error.
  editor_actions submit(const configuration_submission &Submission,
                        base::time_point Now, base::time_point Deadline);
  /// Handles the answer to the send_store_request with this \p Id.
  editor_actions onStoreAnswer(std::uint64_t Id,
                               const base::store_answer &Answer,
                               base::time_point Now);
  /// Handles the answer to the store_at_witness with this \p Sequence;
  /// \p HeldVersion is the version that the witness holds after the offer.
  editor_actions onWitnessAnswer(std::uint64_t Sequence,
                                 configuration_version HeldVersion,
                                 base::time_point Now);
  /// Handles deadlines, retries and repeated offers. Must be called at least
  /// every 100 ms.
  editor_actions tick(base::time_point Now);

  [[nodiscard]] base::json dump() const;

private:
  /// Stages of a submission: look for the record of an earlier run, read the
  /// current document, write the transaction, wait for a majority of witnesses.
  enum class stage { FindRepeat, ReadCurrent, Write, Confirm };
  /// A submission that has not finished yet.
  struct pending_submission {
    configuration_submission Submission;
    std::string PatchDigest;
    base::time_point Deadline;
    stage Stage = stage::FindRepeat;
    /// Identifier of the store request in progress; 0 if there is none.
    std::uint64_t RequestId = 0;
    base::time_point RetryAt;
    base::duration Backoff{0};
    base::failure Failure;
    /// True if the answer to a transaction was lost, so that it may have taken
    /// effect.
    bool MayHaveRun = false;
    base::row_version CurrentRowVersion = 0;
    /// The document that is offered to the witnesses.
    configuration_pointer Document;
    /// The version that the submission created; 0 until it is known to be
    /// stored.
    configuration_version Version = 0;
    /// For each witness that holds the version: when the latest offer that it
    /// acknowledged was sent.
    std::map<base::host_id, base::time_point> AcknowledgedOfferAt;
    /// When the document was last offered to the witnesses.
    std::optional<base::time_point> OfferedAt;
  };
  /// A document offered to a witness that has not answered yet.
  struct pending_offer {
    std::string Submission;
    base::host_id Host;
    base::time_point AskedAt;
  };

  void sendStoreRequest(pending_submission &Pending, editor_actions &Actions);
  [[nodiscard]] base::store_request
  makeRequest(const pending_submission &Pending) const;
  [[nodiscard]] base::store_transaction
  makeTransaction(const pending_submission &Pending) const;
  void scheduleRetry(pending_submission &Pending,
                     const base::store_answer &Answer, base::time_point Now);
  void advance(pending_submission &Pending, const base::store_answer &Answer,
               base::time_point Now, editor_actions &Actions);
  void onSubmissionRow(pending_submission &Pending, const base::table_row &Row,
                       editor_actions &Actions);
  void onCurrentRow(pending_submission &Pending, const base::table_row &Row,
                    base::time_point Now, editor_actions &Actions);
  void prepareWrite(pending_submission &Pending,
                    const configuration_document &Current,
                    editor_actions &Actions);
  void onWriteAnswer(pending_submission &Pending,
                     const base::store_answer &Answer, base::time_point Now,
                     editor_actions &Actions);
  /// Takes over the version from the record of an earlier run of the same
  /// submission. Finishes the submission and returns false if the record is
  /// unreadable or belongs to another patch.
  bool resumeFromRecord(pending_submission &Pending, const base::json &Record,
                        editor_actions &Actions);
  void startConfirming(pending_submission &Pending, base::time_point Now,
                       editor_actions &Actions);
  void offerToWitnesses(pending_submission &Pending, base::time_point Now,
                        editor_actions &Actions);
  void finishIfConfirmed(pending_submission &Pending, base::time_point Now,
                         editor_actions &Actions);
  /// Submits confirm_witnesses if a change of witnesses is in progress.
  void submitWitnessConfirmation(const configuration_document &Document,
                                 base::time_point Now, editor_actions &Actions);
  void finish(pending_submission &Pending, submission_result Result,
              editor_actions &Actions);
  /// Finishes a submission whose deadline has passed, with what is known of its
  /// effect.
  void finishTimedOut(pending_submission &Pending, editor_actions &Actions);
  void removeFinished();

  editor_options Options;
  std::map<std::string, pending_submission> PendingSubmissions;
  std::map<std::uint64_t, std::string> Requests;
  std::map<std::uint64_t, pending_offer> PendingOffers;
  /// Submissions that finished during the current call; removeFinished erases
  /// them at its end.
  std::vector<std::string> Finished;
  std::uint64_t LastId = 0;
};

} // namespace radishrelay::fleet

#endif
