// Promotions of a simulated group.
#include "support/simulated_group.h"

#include "support/fake_fleet.h"

namespace radishrelay::sessions::tests {

namespace {

constexpr base::duration PromotionTime = 300ms;
/// Time within which the platform takes the orders of two hosts for those of
/// two holders of the duty.
constexpr base::duration DutyPeriod = 3000ms;

} // namespace

void simulated_group::recordOrder(const std::string &Host,
                                  std::uint64_t Generation) {
  if (Generation < LastOrder.Generation)
    recordBroken(Host + " ordered a promotion with a generation number below " +
                 std::to_string(LastOrder.Generation));
  bool IsInTurn = !LastOrder.Host.empty() && LastOrder.Host != Host &&
                  Queue.now() < LastOrder.At + DutyPeriod;
  if (IsInTurn)
    recordBroken(Host + " and " + LastOrder.Host +
                 " ordered promotions at the same time");
  LastOrder = {Host, Generation, Queue.now()};
}

bool simulated_group::promote(const base::instance_id &Id) {
  if (!Instances.at(Id).IsRunning)
    return false;
  Queue.scheduleIn(PromotionTime, [this, Id] { takeEffect(Id); });
  return true;
}

void simulated_group::takeEffect(const base::instance_id &Id) {
  simulated_instance &Instance = Instances.at(Id);
  bool IsNewLeader =
      Instance.IsRunning &&
      (Id != Leader || Instance.Role == groups::instance_role::Replica);
  if (!IsNewLeader)
    return;
  if (Trace)
    Trace("promoted " + Id.str() + " with " +
          std::to_string(Instance.Log.size()) + " commits");
  std::size_t Lost = 0;
  for (const acknowledged_commit &Commit : Acknowledged)
    if (!holds(Instance, Commit))
      ++Lost;
  if (SyncReplicas == 0) {
    forgetRolledBack(Instance);
  } else if (Lost > 0) {
    recordBroken(std::to_string(Lost) +
                 " acknowledged commits are not in the "
                 "log of the promoted instance " +
                 Id.str());
  }
  ++Promotions;
  Leader = Id;
  Instance.Role = groups::instance_role::Primary;
  Instance.Term = ++LeaderTerm;
  Instance.FencedTerm = 0;
  replicate(Instance);
}

void simulated_group::forgetRolledBack(const simulated_instance &Leader) {
  std::vector<acknowledged_commit> Kept;
  for (const acknowledged_commit &Commit : Acknowledged)
    if (holds(Leader, Commit))
      Kept.push_back(Commit);
  Acknowledged.clear();
  Longest.clear();
  for (const acknowledged_commit &Commit : Kept)
    recordAcknowledged(Commit);
}

} // namespace radishrelay::sessions::tests
