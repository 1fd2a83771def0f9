#ifndef RADISHRELAY_SESSIONS_DETAIL_ANSWER_CHECK_H
#define RADISHRELAY_SESSIONS_DETAIL_ANSWER_CHECK_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/sessions/answer_doubt.h"
#include "radishrelay/sessions/backend_reply.h"
#include "radishrelay/sessions/backend_request.h"
#include "radishrelay/sessions/detail/seen_hashes.h"

#include <map>
#include <optional>

namespace radishrelay::sessions::detail {

/// A request that has been sent and not answered yet.
struct sent_request {
  backend_verb Verb = backend_verb::Status;
  /// Whether a success ends the open transaction.
  bool EndsTransaction = false;
  base::time_point SentAt;
};

/// Checks whether the answers on one connection can be the answers to its
/// requests, which they carry no reference to.
///
/// A copy of an earlier answer is told apart if its content or session state
/// does not fit the request, or if it repeats a receipt, since each run of a
/// statement gets another receipt. An error has nothing that tells it from its
/// copy, so an error equal to an earlier one is in doubt. So is an answer with
/// an older log position; the log itself goes back only if a promotion rolls
/// the instance back.
///
/// A success without a receipt may be a copy if it equals an earlier one of the
/// connection. The true answer is then still to come. The next receipt shows
/// that it is not; an error before that is in doubt.
class answer_check {
public:
  /// Checks the answer \p Reply to \p Request. Returns empty if nothing speaks
  /// against the answer, which then counts for later checks. After a doubt, no
  /// request may be sent on the connection.
  std::optional<answer_doubt> check(const sent_request &Request,
                                    const backend_reply &Reply);
  /// When the first request was sent that the last status row may answer. Equal
  /// rows of a connection can't be told apart, so all date from the first.
  [[nodiscard]] base::time_point statusDate() const { return StatusDate; }
  /// Whether an error, or the answer to opening a transaction, has come since
  /// the log position changed. An equal one would be in doubt.
  [[nodiscard]] bool hasErrorAtPosition() const { return HasErrorAtPosition; }
  [[nodiscard]] bool hasBegunAtPosition() const { return HasBegunAtPosition; }
  /// Whether requests may be sent on the connection. False after a doubt, and
  /// once no further answer could be remembered: a copy may arrive at any time.
  [[nodiscard]] bool isReusable() const { return IsReusable; }

private:
  std::optional<answer_doubt> checkSuccess(const sent_request &Request,
                                           const backend_reply &Reply);
  std::optional<answer_doubt> checkBareSuccess(const backend_reply &Reply,
                                               bool Begins);
  void dateStatus(const backend_reply &Reply, base::time_point SentAt);
  void recordPosition(const backend_reply &Reply);
  [[nodiscard]] std::optional<answer_doubt>
  checkError(const backend_reply &Reply);

  bool IsReusable = true;
  /// Whether an answer since the last receipt may be a copy.
  bool MayBeOffByOne = false;
  /// Session state after the last answer.
  session_phase Phase = session_phase::Idle;
  /// Latest log position of an answer.
  std::optional<groups::log_position> Position;
  seen_hashes Receipts;
  seen_hashes Errors;
  /// Successes with neither receipt nor row.
  seen_hashes BareSuccesses;
  /// When the first request was sent that got each status row, by its hash.
  std::map<std::uint64_t, base::time_point> Statuses;
  base::time_point StatusDate;
  bool HasErrorAtPosition = false;
  bool HasBegunAtPosition = false;
};

} // namespace radishrelay::sessions::detail

#endif
