#include "radishrelay/sessions/detail/answer_check.h"

#include <array>
#include <functional>
#include <string_view>

namespace radishrelay::sessions::detail {

namespace {

enum class row_count { Any, None, One };

/// How a success changes the session state.
enum class phase_change { None, Begins, Ends };

/// What a success of one verb contains.
struct answer_shape {
  bool HasReceipt;
  row_count Rows;
  phase_change Change;
};

constexpr answer_shape StatementShape{true, row_count::Any, phase_change::None};
constexpr answer_shape BeginShape{false, row_count::None, phase_change::Begins};
constexpr answer_shape RollbackShape{false, row_count::None,
                                     phase_change::Ends};
constexpr answer_shape SettingShape{false, row_count::None, phase_change::None};
constexpr answer_shape StatusShape{false, row_count::One, phase_change::None};

/// Indexed by backend_verb.
constexpr std::array<answer_shape, BackendVerbCount> Shapes{
    StatementShape, StatementShape, BeginShape,   BeginShape,
    RollbackShape,  SettingShape,   SettingShape, SettingShape,
    StatusShape,    StatusShape,    StatusShape,  StatusShape};

const answer_shape &shapeOf(backend_verb Verb) {
  return Shapes.at(static_cast<std::size_t>(Verb));
}

std::uint64_t combine(std::uint64_t Hash, std::uint64_t Value) {
  constexpr std::uint64_t GoldenRatio = 0x9e3779b97f4a7c15;
  constexpr unsigned HalfOfBits = 32;
  Hash = (Hash ^ Value) * GoldenRatio;
  return Hash ^ (Hash >> HalfOfBits);
}

/// Hashes the session state and the log position of \p Reply.
std::uint64_t hashOfEnd(const backend_reply &Reply) {
  auto Hash = static_cast<std::uint64_t>(Reply.Phase);
  if (!Reply.Position)
    return Hash;
  return combine(combine(Hash, Reply.Position->Term), Reply.Position->Offset);
}

std::uint64_t hashOfError(const backend_reply &Reply) {
  std::uint64_t Hash = std::hash<std::string_view>()(Reply.ErrorText);
  Hash = combine(Hash, static_cast<std::uint64_t>(*Reply.Error));
  return combine(Hash, hashOfEnd(Reply));
}

bool hasContent(const answer_shape &Shape, const backend_reply &Reply) {
  bool HasRows = Shape.Rows == row_count::Any ||
                 Reply.Rows.size() == (Shape.Rows == row_count::One ? 1U : 0U);
  bool IsStatus = Shape.Rows == row_count::One;
  return Shape.HasReceipt != Reply.Receipt.empty() && HasRows &&
         IsStatus == Reply.Condition.has_value();
}

bool isNextPhase(phase_change Change, session_phase Before,
                 session_phase After) {
  switch (Change) {
  case phase_change::Begins:
    return Before == session_phase::Idle &&
           After == session_phase::InTransaction;
  case phase_change::Ends:
    return After == session_phase::Idle;
  case phase_change::None:
    break;
  }
  return After == Before;
}

} // namespace

std::optional<answer_doubt>
answer_check::checkSuccess(const sent_request &Request,
                           const backend_reply &Reply) {
  const answer_shape &Shape = shapeOf(Request.Verb);
  if (!hasContent(Shape, Reply))
    return answer_doubt::WrongContent;
  phase_change Change =
      Request.EndsTransaction ? phase_change::Ends : Shape.Change;
  if (!isNextPhase(Change, Phase, Reply.Phase))
    return answer_doubt::WrongPhase;
  if (Shape.HasReceipt) {
    MayBeOffByOne = false;
    bool IsNew = Receipts.insert(std::hash<std::string_view>()(Reply.Receipt));
    return IsNew ? std::nullopt : std::optional(answer_doubt::RepeatedReceipt);
  }
  if (Shape.Rows == row_count::None)
    return checkBareSuccess(Reply, Change == phase_change::Begins);
  dateStatus(Reply, Request.SentAt);
  return std::nullopt;
}

std::optional<answer_doubt>
answer_check::checkBareSuccess(const backend_reply &Reply, bool Begins) {
  if (BareSuccesses.insert(hashOfEnd(Reply)))
    return std::nullopt;
  MayBeOffByOne = true;
  return Begins ? std::optional(answer_doubt::RepeatedBegin) : std::nullopt;
}

void answer_check::dateStatus(const backend_reply &Reply,
                              base::time_point SentAt) {
  std::uint64_t Hash = combine(
      hashOfEnd(Reply), std::hash<std::string_view>()(Reply.Rows.front()));
  auto [Status, IsNew] = Statuses.try_emplace(Hash, SentAt);
  StatusDate = Status->second;
  MayBeOffByOne = MayBeOffByOne || !IsNew;
  // Another connection gives the next status a date of its own.
  IsReusable = IsReusable && IsNew;
}

std::optional<answer_doubt>
answer_check::checkError(const backend_reply &Reply) {
  if (!Errors.insert(hashOfError(Reply)))
    return answer_doubt::RepeatedError;
  return MayBeOffByOne ? std::optional(answer_doubt::LateError) : std::nullopt;
}

void answer_check::recordPosition(const backend_reply &Reply) {
  if (!Reply.Position || Reply.Position == Position)
    return;
  Position = Reply.Position;
  HasErrorAtPosition = false;
  HasBegunAtPosition = false;
}

std::optional<answer_doubt> answer_check::check(const sent_request &Request,
                                                const backend_reply &Reply) {
  // An error may leave the transaction open or failed, or may end it.
  std::optional<answer_doubt> Doubt =
      Reply.Error ? checkError(Reply) : checkSuccess(Request, Reply);
  if (!Doubt && Reply.Position && Position && *Reply.Position < *Position)
    Doubt = answer_doubt::OlderPosition;
  recordPosition(Reply);
  bool Begins = shapeOf(Request.Verb).Change == phase_change::Begins;
  HasErrorAtPosition = HasErrorAtPosition || Reply.Error.has_value();
  HasBegunAtPosition = HasBegunAtPosition || Begins;
  Phase = Reply.Phase;
  bool IsAnyFull = Receipts.isFull() || Errors.isFull() ||
                   BareSuccesses.isFull() ||
                   Statuses.size() >= seen_hashes::Capacity;
  IsReusable = IsReusable && !Doubt && !IsAnyFull;
  return Doubt;
}

} // namespace radishrelay::sessions::detail
