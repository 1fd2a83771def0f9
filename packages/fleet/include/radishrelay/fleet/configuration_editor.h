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

/// Carries submitted patches into the store and then to the witnesses.
///
/// A patch, its history record and the record of its submission are written in
/// one conditional transaction. A lost answer is resolved by repeating the
/// same transaction, which takes effect at most once.
class configuration_editor {
public:
  explicit configuration_editor(const editor_options &Options = {});

  /// Starts a submission. A repetition of one that is under way joins it.
  editor_actions submit(const configuration_submission &Submission,
                        base::time_point Now, base::time_point Deadline);
  editor_actions onStoreAnswer(std::uint64_t Id,
                               const base::store_answer &Answer,
                               base::time_point Now);
  /// \p Held is the version that the witness holds after the offer.
  editor_actions onWitnessAnswer(std::uint64_t Sequence,
                                 configuration_version Held,
                                 base::time_point Now);
  /// To be called at least every 100 ms.
  editor_actions tick(base::time_point Now);

  [[nodiscard]] base::json dump() const;

private:
  enum class stage { FindRepeat, ReadCurrent, Write, Confirm };
  struct work {
    configuration_submission Submission;
    std::string PatchDigest;
    base::time_point Deadline;
    stage Stage = stage::FindRepeat;
    /// Id of the store request under way; 0 when there is none.
    std::uint64_t RequestId = 0;
    base::time_point RetryAt;
    base::duration RetryPause{0};
    base::failure Failure;
    /// True once a transaction was sent whose answer was not received.
    bool MayHaveRun = false;
    base::row_version CurrentRowVersion = 0;
    /// The document that the witnesses are to hold.
    configuration_pointer Document;
    /// The version that the submission led to.
    configuration_version Version = 0;
    /// When each witness was asked that holds the version.
    std::map<base::host_id, base::time_point> HeldSince;
    std::optional<base::time_point> OfferedAt;
  };
  struct offer {
    std::string Submission;
    base::host_id Host;
    base::time_point AskedAt;
  };

  void send(work &Work, editor_actions &Actions);
  [[nodiscard]] base::store_request requestOf(const work &Work) const;
  [[nodiscard]] base::store_transaction transactionOf(const work &Work) const;
  void retry(work &Work, const base::store_answer &Answer,
             base::time_point Now);
  void advance(work &Work, const base::store_answer &Answer,
               base::time_point Now, editor_actions &Actions);
  void onSubmissionRow(work &Work, const base::table_row &Row,
                       editor_actions &Actions);
  void onCurrentRow(work &Work, const base::table_row &Row,
                    base::time_point Now, editor_actions &Actions);
  void prepare(work &Work, const configuration_document &Current,
               editor_actions &Actions);
  void onWriteAnswer(work &Work, const base::store_answer &Answer,
                     base::time_point Now, editor_actions &Actions);
  bool recordRepeat(work &Work, const base::json &Record,
                    editor_actions &Actions);
  void startConfirming(work &Work, base::time_point Now,
                       editor_actions &Actions);
  void offerToWitnesses(work &Work, base::time_point Now,
                        editor_actions &Actions);
  void checkConfirmed(work &Work, base::time_point Now,
                      editor_actions &Actions);
  void endWitnessChange(const configuration_document &Document,
                        base::time_point Now, editor_actions &Actions);
  void finish(work &Work, submission_result Result, editor_actions &Actions);
  void finishLate(work &Work, editor_actions &Actions);
  void removeFinished();

  editor_options Options;
  std::map<std::string, work> Works;
  std::map<std::uint64_t, std::string> Requests;
  std::map<std::uint64_t, offer> Offers;
  /// Submissions that finished during the present call.
  std::vector<std::string> Finished;
  std::uint64_t LastId = 0;
};

} // namespace radishrelay::fleet

#endif
