#include "radishrelay/accounts/leased_shares.h"

#include "radishrelay/accounts/limits_timing.h"
#include "radishrelay/accounts/slot_record.h"

#include <algorithm>

namespace radishrelay::accounts {

namespace {

constexpr base::duration ExpiredAfter =
    timing::ShareLease + timing::ShareMargin;

std::string trackedName(const share_record &Record,
                        const base::failure_domain_id &Domain) {
  return Record.Account.str() + "/" + Domain.str();
}

} // namespace

std::optional<base::store_request>
leased_shares::poll(const std::vector<share_request> &Requests,
                    const limit_phases &Limits, base::time_point Now) {
  if (InFlight || Now < NextAt)
    return std::nullopt;
  switch (Next) {
  case step::ReadingSlots: {
    bool Wanted =
        std::any_of(Requests.begin(), Requests.end(),
                    [](const share_request &Request) { return Request.Owner; });
    if (!Wanted && !holdsAnyLease(Now))
      return std::nullopt;
    CycleStartedAt = Now;
    return startRead(step::ReadingSlots, SlotsTable);
  }
  case step::ReadingShares:
    return startRead(step::ReadingShares, SharesTable);
  case step::Writing:
    return startWrite(Requests, Limits, Now);
  }
  return std::nullopt;
}

base::store_request leased_shares::startRead(step Step,
                                             const std::string &Table) {
  InFlight = Step;
  return base::read_table{Table};
}

std::optional<base::store_request>
leased_shares::startWrite(const std::vector<share_request> &Requests,
                          const limit_phases &Limits, base::time_point Now) {
  Next = step::ReadingSlots;
  NextAt = CycleStartedAt + timing::ShareRenewalInterval;
  base::store_transaction Transaction;
  SequencesInFlight.clear();
  for (const share_request &Request : Requests) {
    share_record Record{Request.Account, 0, {}};
    if (auto Found = Records.find(Request.Account); Found != Records.end())
      Record = Found->second;
    auto Entry = planEntry(Request, Record, Limits, Now);
    if (!Entry) {
      scheduleRenewal(Request.Account);
      continue;
    }
    Record.Domains[Self.FailureDomain] = *Entry;
    base::row_key Key = shareKey(Request.Account);
    Transaction.Conditions.push_back({Key, Record.Version});
    Transaction.Writes.push_back({Key, formatShare(Record)});
    lease Lease{Entry->Sequence, Entry->Share,
                CycleStartedAt + timing::ShareLease};
    if (Entry->Owner.empty())
      Lease.Deadline = CycleStartedAt;
    Accounts[Request.Account].UnresolvedWrites.push_back(
        {Lease, Record.Version});
    SequencesInFlight[Request.Account] = Entry->Sequence;
  }
  if (SequencesInFlight.empty())
    return std::nullopt;
  InFlight = step::Writing;
  return Transaction;
}

void leased_shares::scheduleRenewal(const base::account_id &Account) {
  const account_state &State = Accounts[Account];
  if (State.Held && State.Held->Share > 0)
    NextAt = std::min(NextAt, renewalTime(*State.Held));
}

base::time_point leased_shares::renewalTime(const lease &Lease) {
  return Lease.Deadline - timing::ShareLease + timing::ShareRenewalInterval;
}

void leased_shares::answer(const base::store_answer &Answer,
                           base::time_point Now) {
  if (!InFlight)
    return;
  step Step = *InFlight;
  InFlight.reset();
  if (Answer.Outcome != base::store_outcome::Done) {
    // The next read shows whether a write took effect.
    Next = step::ReadingSlots;
    NextAt = Now + timing::ShareRetryDelay;
    return;
  }
  if (Step == step::Writing)
    return onWriteDone();
  if (Step == step::ReadingSlots) {
    ClaimedSlots.clear();
    for (const slot_record &Slot : parseSlots(Answer.Rows))
      ClaimedSlots.push_back(Slot.Slot);
    Next = step::ReadingShares;
    return;
  }
  Records.clear();
  for (const base::table_row &Row : Answer.Rows)
    observe(parseShare(Row), Now);
  Next = step::Writing;
}

void leased_shares::observe(const share_record &Record, base::time_point Now) {
  for (const auto &[Domain, Entry] : Record.Domains)
    Tracker.observe(trackedName(Record, Domain), Entry.Incarnation,
                    Entry.Sequence, Now);
  Records[Record.Account] = Record;
}

void leased_shares::onWriteDone() {
  for (const auto &[Account, Sequence] : SequencesInFlight) {
    account_state &State = Accounts[Account];
    for (const unresolved_write &UnresolvedWrite : State.UnresolvedWrites)
      if (UnresolvedWrite.Lease.Sequence == Sequence)
        State.Held = UnresolvedWrite.Lease;
    // All unresolved writes required this row version or an earlier one, so
    // none can take effect any more.
    State.UnresolvedWrites.clear();
  }
}

void leased_shares::resolve(account_state &State, const share_record &Record) {
  auto Found = Record.Domains.find(Self.FailureDomain);
  bool Own = Found != Record.Domains.end() && isOwn(Found->second);
  if (!Own)
    State.Held.reset();
  for (const unresolved_write &UnresolvedWrite : State.UnresolvedWrites)
    if (Own && UnresolvedWrite.Lease.Sequence == Found->second.Sequence)
      State.Held = UnresolvedWrite.Lease;
  std::erase_if(State.UnresolvedWrites,
                [&](const unresolved_write &UnresolvedWrite) {
                  return UnresolvedWrite.BaseVersion < Record.Version;
                });
  State.ShareCap = WholeInMillionths;
}

std::optional<share_entry>
leased_shares::planEntry(const share_request &Request,
                         const share_record &Record, const limit_phases &Limits,
                         base::time_point Now) {
  account_state &State = Accounts[Request.Account];
  resolve(State, Record);
  if (State.Held && State.Held->Deadline <= Now)
    State.Held.reset();
  if (!Request.Owner)
    return planHandOver(Request, State, Now);
  auto Found = Record.Domains.find(Self.FailureDomain);
  if (Found != Record.Domains.end() && !isOwn(Found->second) &&
      isLive(Record, Self.FailureDomain, Found->second, Now))
    return std::nullopt;

  millionths Leasable = Limits.leasableShare(ClaimedSlots);
  millionths Available =
      std::max<millionths>(0, Leasable - sumOfOthers(Record, Now));
  millionths Current = State.Held ? State.Held->Share : 0;
  millionths Wanted = target(Request, Record, Leasable, Now);
  // Skips changes below 1 %, since each one makes other domains adjust.
  if (std::abs(Wanted - Current) < Leasable / 100)
    Wanted = Current;
  if (Wanted < Current)
    Wanted = std::max(Wanted, Request.Lent);
  millionths Share = std::min(Wanted, Available);
  if (State.Held && Share < Request.Lent) {
    // Lent tokens cannot be revoked. Caps the usable share, so that no more is
    // lent; the share is lowered once the loans are settled, well before the
    // lease ends.
    State.ShareCap = Share;
    return std::nullopt;
  }
  // Polls sooner while the increase waits for another domain to lower its share
  // or for that domain's lease to expire.
  if (Wanted > Available)
    NextAt = CycleStartedAt + timing::ShareRetryDelay;
  bool Due = !State.Held || CycleStartedAt >= renewalTime(*State.Held);
  if (!Due && Share == Current && State.UnresolvedWrites.empty())
    return std::nullopt;
  return share_entry{Self.Host, Self.Incarnation, ++State.LastSequence, Share,
                     Request.Demand};
}

std::optional<share_entry>
leased_shares::planHandOver(const share_request &Request, account_state &State,
                            base::time_point Now) {
  bool Holds = State.Held && Now < State.Held->Deadline;
  if (!Holds || Request.Lent > 0)
    return std::nullopt;
  // The next owner can claim an entry without an owner at once.
  return share_entry{base::host_id(), Self.Incarnation, ++State.LastSequence, 0,
                     0};
}

bool leased_shares::isOwn(const share_entry &Entry) const {
  return Entry.Owner == Self.Host && Entry.Incarnation == Self.Incarnation;
}

bool leased_shares::isLive(const share_record &Record,
                           const base::failure_domain_id &Domain,
                           const share_entry &Entry,
                           base::time_point Now) const {
  return !Entry.Owner.empty() &&
         !Tracker.expired(trackedName(Record, Domain), ExpiredAfter, Now);
}

millionths leased_shares::sumOfOthers(const share_record &Record,
                                      base::time_point Now) const {
  millionths Sum = 0;
  for (const auto &[Domain, Entry] : Record.Domains)
    if (Domain != Self.FailureDomain && isLive(Record, Domain, Entry, Now))
      Sum += Entry.Share;
  return Sum;
}

millionths leased_shares::target(const share_request &Request,
                                 const share_record &Record,
                                 millionths Leasable,
                                 base::time_point Now) const {
  std::int64_t Domains = 1;
  std::int64_t Demand = Request.Demand;
  for (const auto &[Domain, Entry] : Record.Domains)
    if (Domain != Self.FailureDomain && isLive(Record, Domain, Entry, Now)) {
      ++Domains;
      Demand += Entry.Demand;
    }
  if (Demand <= 0)
    return Leasable / Domains;
  // Splits 30 % equally, so that a domain has tokens when its demand begins,
  // before the split by demand has adjusted.
  millionths Equal = Leasable * 3 / 10;
  millionths ByDemand = Leasable - Equal;
  return Equal / Domains + ByDemand * Request.Demand / Demand;
}

millionths leased_shares::share(const base::account_id &Account,
                                base::time_point Now) const {
  auto Found = Accounts.find(Account);
  if (Found == Accounts.end())
    return 0;
  const account_state &State = Found->second;
  if (!State.Held || Now >= State.Held->Deadline)
    return 0;
  millionths Share = std::min(State.Held->Share, State.ShareCap);
  for (const unresolved_write &UnresolvedWrite : State.UnresolvedWrites)
    Share = std::min(Share, UnresolvedWrite.Lease.Share);
  return Share;
}

base::time_point
leased_shares::deadline(const base::account_id &Account) const {
  auto Found = Accounts.find(Account);
  if (Found == Accounts.end() || !Found->second.Held)
    return {};
  return Found->second.Held->Deadline;
}

bool leased_shares::holdsAnyLease(base::time_point Now) const {
  return std::any_of(Accounts.begin(), Accounts.end(), [&](const auto &Entry) {
    return Entry.second.Held && Now < Entry.second.Held->Deadline;
  });
}

base::json leased_shares::dump() const {
  base::json Dump = base::json::object();
  for (const auto &[Account, State] : Accounts)
    if (State.Held)
      Dump[Account.str()] = {
          {"share_ppm", State.Held->Share},
          {"sequence", State.Held->Sequence},
          {"deadline_us", base::toMicroseconds(State.Held->Deadline)},
          {"unresolved_writes", State.UnresolvedWrites.size()}};
  return Dump;
}

} // namespace radishrelay::accounts
