// The claim of a promotion in the table store.
#include "promotion_periods.h"
#include "radishrelay/base/json_fields.h"
#include "radishrelay/base/store_version.h"
#include "radishrelay/sessions/promotion.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace radishrelay::sessions {

namespace {

using detail::StoreTimeout;

/// Time for which the claim of another host is respected after it was first
/// seen, unless it announces an order.
constexpr base::duration ClaimPeriod = std::chrono::milliseconds(4500);
/// Time for which a host is left the duty after its promotion. The platform
/// treats two hosts that act within 3 s of each other as two holders of the
/// duty; fencing and the wait for leases make up the rest of the 3 s.
constexpr base::duration DutyPeriod = std::chrono::milliseconds(2500);
/// Time for which a claim is respected that announces an order without an
/// answer. The bytes of an order may be held up by a partition, for up to 12 s
/// on the platform, even if its sender has been killed or suspended since.
constexpr base::duration HeldUpPeriod = std::chrono::seconds(15);
/// Time after claiming during which an order may be announced. Shorter than
/// ClaimPeriod, since an announcement fails once another host has the claim.
constexpr base::duration OrderPeriod = std::chrono::milliseconds(3500);

std::optional<groups::term_number> termField(const base::json &Claim,
                                             const char *Key) {
  if (!Claim.is_object() || !Claim.contains(Key) ||
      !Claim[Key].is_number_integer())
    return std::nullopt;
  return Claim[Key].get<groups::term_number>();
}

std::optional<groups::log_position> positionField(const base::json &Claim) {
  if (!Claim.is_object() || !Claim.contains("replicated"))
    return std::nullopt;
  const base::json &Position = Claim["replicated"];
  std::optional<groups::term_number> Term = termField(Position, "term");
  bool HasOffset = Position.is_object() && Position.contains("offset") &&
                   Position["offset"].is_number_integer() &&
                   Position["offset"] >= 0;
  if (!Term || !HasOffset)
    return std::nullopt;
  return groups::log_position{*Term,
                              Position["offset"].get<groups::log_offset>()};
}

} // namespace

base::row_key promotionClaimKey(const base::group_id &Group) {
  return {"promotions", Group.str()};
}

claim_view viewOf(const base::json &Claim) {
  // An announced order leads to no later term than the announced one.
  bool IsAnnounced =
      base::flagField(Claim, "ordering") || base::flagField(Claim, "done");
  // Hosts of an earlier release do not write the announced term.
  groups::term_number Announced =
      IsAnnounced ? termField(Claim, "term").value_or(0) + 1 : 0;
  claim_view View{termField(Claim, "announced_term").value_or(Announced),
                  !Claim.is_null() && !IsAnnounced};
  bool IsDone = base::flagField(Claim, "done");
  View.Leader = base::instance_id(
      base::textField(Claim, IsDone ? "instance" : "primary"));
  if (!View.Leader.empty())
    View.LeaderTerm =
        IsDone ? View.AnnouncedTerm : termField(Claim, "term").value_or(0);
  View.Replicated = positionField(Claim);
  return View;
}

groups::term_number ledTermOf(const base::json &Claim) {
  return base::flagField(Claim, "done") ? viewOf(Claim).AnnouncedTerm : 0;
}

bool promotion::mayOrderArrive(const base::json &Claim) const {
  bool IsOrdering =
      base::flagField(Claim, "ordering") && !base::flagField(Claim, "done");
  // An order that was not repeated has arrived if it has taken effect.
  bool HasArrived =
      !base::flagField(Claim, "repeated") &&
      termField(Claim, "term").value_or(Request.Term) + 1 == Request.Term &&
      base::textField(Claim, "instance") == Request.OldPrimary.str();
  return IsOrdering && !HasArrived;
}

void promotion::recordReplicated(
    const std::optional<groups::log_position> &Position) {
  if (Position)
    Replicated = std::max(Replicated.value_or(*Position), *Position);
}

std::string promotion::claimOwner() const {
  return Options.Host.str() + "/" + Options.Incarnation;
}

bool promotion::mayClaimBeLost(base::time_point Now) const {
  return HistorySeenAt && Now < *HistorySeenAt + ClaimPeriod;
}

void promotion::readClaim(base::time_point Now, promotion_actions &Actions) {
  enter(promotion_stage::Reading, Now + StoreTimeout);
  OpenCall = callStore(base::read_row{promotionClaimKey(Group)}, Actions);
}

std::uint64_t promotion::callStore(base::store_request StoreRequest,
                                   promotion_actions &Actions) {
  Actions.push_back(promotion_store_call{++LastCall, std::move(StoreRequest)});
  return LastCall;
}

void promotion::storeAnswered(std::uint64_t Number,
                              const base::store_answer &Answer,
                              base::time_point Now,
                              promotion_actions &Actions) {
  if (OpenCall != Number)
    return;
  OpenCall.reset();
  if (Stage == promotion_stage::Reading)
    onRead(Answer, Now, Actions);
  else if (Stage == promotion_stage::Claiming)
    onClaimed(Answer, Now, Actions);
  else if (Stage == promotion_stage::Announcing)
    onAnnounced(Answer, Now, Actions);
}

void promotion::onRead(const base::store_answer &Answer, base::time_point Now,
                       promotion_actions &Actions) {
  if (Answer.Outcome != base::store_outcome::Done) {
    abandon("the claim could not be read from the store", Now, Actions);
    return;
  }
  const base::table_row *Row =
      Answer.Rows.empty() ? nullptr : &Answer.Rows.front();
  base::row_version Version = Row ? Row->Version : 0;
  std::uint64_t ClaimHistory =
      std::exchange(ReadHistory, base::historyOf(Answer.Version));
  bool IsOwnRepeat = Row && !Operation.empty() && ClaimHistory == ReadHistory &&
                     base::textField(Row->Value, "operation") == Operation;
  if (IsOwnRepeat) {
    ClaimVersion = Version;
    if (!Generation) {
      Generation = Version;
      ClaimedAt = Now;
    }
    resumeVerifying(Now, Actions);
    return;
  }
  if (mayClaimBeLost(Now) || OpenOrders > 0) {
    abandon("the store was restored and may have lost a claim", Now, Actions);
    return;
  }
  LedTerm = Row ? std::max(LedTerm, ledTermOf(Row->Value)) : LedTerm;
  if (LedTerm > Request.Term) {
    abandon("the claim shows a later promotion", Now, Actions);
    return;
  }
  if (Version != SeenVersion) {
    SeenVersion = Version;
    SeenAt = Now;
  }
  // Respects a claim on an older term too: its owner may still repeat an order,
  // and a lower generation must not follow a higher one.
  bool IsRespected = Row && Now < SeenAt + claimPeriod(Row->Value);
  // An earlier run of this host, which has ended, announces nothing any more.
  bool IsOwn = Row && base::textField(Row->Value, "holder")
                          .starts_with(Options.Host.str() + "/");
  // The order of an earlier attempt of this host may be held up as well.
  if (IsRespected && (!IsOwn || mayOrderArrive(Row->Value))) {
    abandon(IsOwn ? "the last order may still reach the platform"
                  : "another host holds the claim",
            Now, Actions);
    return;
  }
  claim_view View = viewOf(Row ? Row->Value : base::json());
  EarlierAnnouncedTerm = View.AnnouncedTerm;
  AnnouncedTerm = EarlierAnnouncedTerm;
  recordReplicated(View.Replicated);
  if (Request.OldPrimary.empty() && View.LeaderTerm == Request.Term)
    Request.OldPrimary = View.Leader;
  Operation = std::to_string(Random());
  enter(promotion_stage::Claiming, Now + StoreTimeout);
  ClaimDeadline = Now + OrderPeriod;
  AttemptDeadline = ClaimDeadline;
  Generation = 0;
  ClaimVersion = Version;
  OpenCall = writeClaim(claim_state::Open, Actions);
}

base::duration promotion::claimPeriod(const base::json &Claim) const {
  if (mayOrderArrive(Claim))
    return HeldUpPeriod;
  bool HasPromoted =
      base::flagField(Claim, "done") || base::flagField(Claim, "ordering");
  return HasPromoted ? DutyPeriod : ClaimPeriod;
}

std::uint64_t promotion::writeClaim(claim_state State,
                                    promotion_actions &Actions) {
  base::json Value = base::json::object();
  Value["holder"] = claimOwner();
  Value["operation"] = Operation;
  Value["term"] = Request.Term;
  Value["primary"] = Request.OldPrimary.str();
  Value["instance"] = Candidate.str();
  if (Replicated)
    Value["replicated"] = {{"term", Replicated->Term},
                           {"offset", Replicated->Offset}};
  Value["ordering"] = State == claim_state::Ordering;
  Value["repeated"] = OpenOrders > 0;
  Value["done"] = State == claim_state::Done;
  Value["announced_term"] = AnnouncedTerm;
  base::store_transaction Transaction;
  Transaction.Conditions.push_back({promotionClaimKey(Group), ClaimVersion});
  Transaction.Writes.push_back({promotionClaimKey(Group), std::move(Value)});
  return callStore(std::move(Transaction), Actions);
}

void promotion::onClaimed(const base::store_answer &Answer,
                          base::time_point Now, promotion_actions &Actions) {
  bool IsHistoryChanged = base::historyOf(Answer.Version) != ReadHistory;
  if (Answer.Outcome == base::store_outcome::Done && IsHistoryChanged) {
    abandon("the store was restored before the claim was written", Now,
            Actions);
  } else if (Answer.Outcome == base::store_outcome::Done) {
    Generation = Answer.Version;
    ClaimVersion = Answer.Version;
    ClaimedAt = Now;
    beginFencing(Now, Actions);
  } else if (Answer.Outcome == base::store_outcome::NotDone) {
    abandon("the store rejected the claim", Now, Actions);
  } else {
    // After a lost answer or a conflict, the row shows who holds the claim.
    readClaim(Now, Actions);
  }
}

} // namespace radishrelay::sessions
