// Steps of the promoter that use the table service.
#include "radishrelay/groups/promoter.h"

#include <algorithm>

namespace radishrelay::groups {

namespace {

const base::table_row *findRow(const base::store_answer &Answer,
                               const base::row_key &Key) {
  auto Row = std::ranges::find(Answer.Rows, Key, &base::table_row::Key);
  return Row == Answer.Rows.end() ? nullptr : &*Row;
}

} // namespace

void promoter::send(base::store_request Request, base::time_point Now,
                    failover_actions &Actions) {
  IsCallPending = true;
  DueAt = Now + Options.StoreTimeout;
  Actions.push_back(store_call{++LastCallId, std::move(Request), DueAt});
}

void promoter::readRecord(promotion_stage Next, base::time_point Now,
                          failover_actions &Actions) {
  enter(Next, Now);
  send(base::read_row{groupRecordKey(Options.Group)}, Now, Actions);
}

void promoter::writeRecord(promotion_stage Next, base::time_point Now,
                           failover_actions &Actions) {
  enter(Next, Now);
  base::row_key Key = groupRecordKey(Options.Group);
  base::store_transaction Transaction;
  Transaction.Conditions.push_back({Key, Version});
  Transaction.Writes.push_back({Key, toJson(Record)});
  send(std::move(Transaction), Now, Actions);
}

void promoter::handle(const store_call_answer &Answer, base::time_point Now,
                      failover_actions &Actions) {
  if (IsCallPending && Answer.Id == LastCallId)
    handleStoreAnswer(Answer.Answer, Now, Actions);
}

void promoter::handleStoreAnswer(const base::store_answer &Answer,
                                 base::time_point Now,
                                 failover_actions &Actions) {
  IsCallPending = false;
  if (Stage == promotion_stage::Reading)
    onRead(Answer, Now, Actions);
  else if (Stage == promotion_stage::Claiming)
    onClaim(Answer, Now, Actions);
  else if (Stage == promotion_stage::ReadingBack)
    onReadBack(Answer, Now, Actions);
  else if (Stage == promotion_stage::Recording)
    onRecorded(Answer, Now);
}

void promoter::onRead(const base::store_answer &Answer, base::time_point Now,
                      failover_actions &Actions) {
  if (Answer.Outcome == base::store_outcome::Done)
    claimUnlessOwned(Answer, Now, Actions);
  else
    backOff(Now);
}

void promoter::claimUnlessOwned(const base::store_answer &Answer,
                                base::time_point Now,
                                failover_actions &Actions) {
  const base::table_row *Row = findRow(Answer, groupRecordKey(Options.Group));
  group_record Stored = Row ? parseGroupRecord(Row->Value) : group_record{};
  Version = Row ? Row->Version : 0;
  bool IsOwnedByOther =
      Stored.Term > SuspectedTerm && Stored.Promoter != ownerName();
  if (IsOwnedByOther && DeferredToVersion != Version) {
    // Another promoter owns the term and may still be working in it. Give it
    // time once; claim the next term if the row has not changed by then.
    DeferredToVersion = Version;
    finish(Now + takeoverDelay());
    return;
  }
  chooseTerm(Stored.Term);
  writeRecord(promotion_stage::Claiming, Now, Actions);
}

base::duration promoter::takeoverDelay() const {
  // While the owner of a term waits for leases to expire, it shows no progress.
  if (!Strategy->waitsForLeases())
    return Options.TakeoverDelay;
  return Options.TakeoverDelay + Options.LeaseDuration + Options.LeaseMargin;
}

void promoter::onClaim(const base::store_answer &Answer, base::time_point Now,
                       failover_actions &Actions) {
  if (Answer.Outcome == base::store_outcome::Done)
    onClaimSucceeded(Answer.Version, Now, Actions);
  else if (Answer.Outcome == base::store_outcome::NotDone)
    backOff(Now);
  else // A conflict can come from a repeated delivery of this very claim.
    readRecord(promotion_stage::ReadingBack, Now, Actions);
}

void promoter::onReadBack(const base::store_answer &Answer,
                          base::time_point Now, failover_actions &Actions) {
  if (Answer.Outcome != base::store_outcome::Done) {
    enter(promotion_stage::ReadingBack, Backoff.next(Now, Random));
    return;
  }
  const base::table_row *Row = findRow(Answer, groupRecordKey(Options.Group));
  group_record Stored = Row ? parseGroupRecord(Row->Value) : group_record{};
  bool IsOwn = Stored.Promoter == Record.Promoter &&
               Stored.Operation == Record.Operation;
  if (IsOwn)
    onClaimSucceeded(Row->Version, Now, Actions);
  else if (Stored.Term <= SuspectedTerm)
    backOff(Now); // The claim can still be applied; a later term is used next.
  else
    claimUnlessOwned(Answer, Now, Actions);
}

void promoter::onClaimSucceeded(base::row_version NewVersion,
                                base::time_point Now,
                                failover_actions &Actions) {
  Version = NewVersion;
  if (!Strategy->waitsForLeases()) {
    beginRaising(Now, Actions);
    return;
  }
  // Every lease on an older term was requested before the claim took effect, so
  // all of them have expired after the lease duration and the margin.
  enter(promotion_stage::AwaitingLeases,
        Now + Options.LeaseDuration + Options.LeaseMargin);
}

void promoter::onRecorded(const base::store_answer &Answer,
                          base::time_point Now) {
  bool IsEnded = Answer.Outcome == base::store_outcome::Done ||
                 Answer.Outcome == base::store_outcome::Conflict;
  if (IsEnded)
    finish(NotBefore);
  else
    enter(promotion_stage::Recording, Backoff.next(Now, Random));
}

} // namespace radishrelay::groups
