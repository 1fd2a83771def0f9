#ifndef RADISHRELAY_SESSIONS_TESTS_SUPPORT_PROMOTION_FIXTURE_H
#define RADISHRELAY_SESSIONS_TESTS_SUPPORT_PROMOTION_FIXTURE_H

#include "radishrelay/sessions/promotion.h"

#include <optional>
#include <string>
#include <vector>

namespace radishrelay::sessions::tests {

using namespace std::chrono_literals;
using groups::instance_role;

inline const base::instance_id P("p");
inline const base::instance_id R1("r1");
inline const base::instance_id R2("r2");

/// A promotion of a group with the primary P and the replicas R1 and R2, with a
/// clock that only the test advances.
struct promotion_fixture {
  promotion_fixture() : Promotion(base::group_id("g"), options()) {}

  static engine_options options() {
    engine_options Options;
    Options.Host = base::host_id("h1");
    Options.Incarnation = "1";
    return Options;
  }

  void start() {
    Promotion.setReplicaKnowledge(Knowledge);
    Promotion.start(Request, Now, Actions);
  }

  base::store_answer done(base::row_version Version) const {
    base::store_answer Answer;
    Answer.Outcome = base::store_outcome::Done;
    Answer.Version = Version;
    return Answer;
  }

  /// Answers the latest call to the store.
  void storeAnswers(const base::store_answer &Answer) {
    Promotion.storeAnswered(sent<promotion_store_call>().back().Number, Answer,
                            Now, Actions);
  }

  void claim() {
    start();
    storeAnswers(done(0));
    storeAnswers(done(42));
  }

  void fenced(const base::instance_id &Instance, groups::log_offset Offset,
              groups::term_number Fence = 2,
              std::optional<base::time_point> SentAt = std::nullopt) {
    Promotion.instanceAnswered(Instance,
                               {instance_role::Replica, 1, {1, Offset}, Fence},
                               SentAt.value_or(Now), Now, Actions);
    if (IsAnnouncementStored && isAnnouncing())
      storeAnswers(done(++AnnouncedVersion));
  }

  bool isAnnouncing() const {
    return Promotion.stage() == promotion_stage::Announcing;
  }

  /// Claims the promotion and verifies the fences of both replicas, of which
  /// R2 is ahead.
  void verify() {
    claim();
    fenced(R1, 5);
    fenced(R2, 9);
    advanceBy(1200ms);
    fenced(R1, 5);
    fenced(R2, 9);
  }

  /// The value that the latest transaction writes to the claim.
  base::json lastClaim() const {
    base::json Value;
    for (const promotion_store_call &Call : sent<promotion_store_call>())
      if (const auto *Write =
              std::get_if<base::store_transaction>(&Call.Request))
        Value = Write->Writes.front().Value;
    return Value;
  }

  void orderAnswered(order_outcome Outcome) {
    Promotion.orderAnswered(sent<promotion_order>().back().Number, Outcome,
                            Now);
  }

  base::store_answer storedClaim(base::row_version Version,
                                 const base::json &Value) const {
    base::store_answer Answer = done(Version);
    Answer.Rows.push_back({{"promotions", "g"}, Version, Value});
    return Answer;
  }

  void advanceBy(base::duration Time) {
    for (base::time_point End = Now + Time; Now < End;) {
      Now += 1ms;
      Promotion.advance(Now, Actions);
    }
  }

  template <typename Kind> std::vector<Kind> sent() const {
    std::vector<Kind> Result;
    for (const promotion_action &Action : Actions)
      if (const auto *Found = std::get_if<Kind>(&Action))
        Result.push_back(*Found);
    return Result;
  }

  /// The status of a primary that has been demoted and not yet fenced.
  void demoted(groups::log_offset Offset) { fenced(P, Offset, 0); }

  /// The last of the calls that fence or demote \p Instance.
  promotion_fence lastFence(const base::instance_id &Instance) const {
    promotion_fence Last;
    for (const promotion_fence &Fence : sent<promotion_fence>())
      if (Fence.Instance == Instance)
        Last = Fence;
    return Last;
  }

  promotion_request Request{
      P, 1, {{P, false}, {R1, false}, {R2, false}}, false};
  replica_knowledge Knowledge{groups::log_position{1, 5}, true, true};
  base::time_point Now = base::fromMicroseconds(1'000'000);
  promotion Promotion;
  promotion_actions Actions;
  /// Whether the store answers announcements of orders at once.
  bool IsAnnouncementStored = true;
  base::row_version AnnouncedVersion = 50;
};

} // namespace radishrelay::sessions::tests

#endif
