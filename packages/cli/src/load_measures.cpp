#include "load_measures.h"

#include <algorithm>

namespace radishrelay::cli {

namespace {

double share(std::uint64_t Part, std::uint64_t Whole) {
  return Whole == 0 ? 1.0
                    : static_cast<double>(Part) / static_cast<double>(Whole);
}

/// Number of arrivals that a full bucket of the rate and burst admits.
class reference_bucket {
public:
  explicit reference_bucket(const load_account &Account)
      : Rate(static_cast<double>(Account.RatePerSecond)),
        Burst(static_cast<double>(Account.Burst)), Tokens(Burst) {}

  bool take(base::duration At) {
    Tokens = std::min(
        Burst,
        Tokens + Rate * std::chrono::duration<double>(At - Last).count());
    Last = At;
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  double Rate;
  double Burst;
  double Tokens;
  base::duration Last{};
};

account_measures measureAccount(const load_history &History,
                                std::size_t Index) {
  account_measures Measures;
  Measures.Name = History.Accounts[Index].Name;
  reference_bucket Bucket(History.Accounts[Index]);
  for (const request_record &Record : History.Records) {
    if (Record.Plan.Account != Index)
      continue;
    ++Measures.Offered;
    Measures.WithinRate += Bucket.take(Record.Plan.At) ? 1 : 0;
    Measures.Answered += succeeded(Record) ? 1 : 0;
  }
  Measures.RefusedWithinRate =
      Measures.WithinRate - std::min(Measures.WithinRate, Measures.Answered);
  return Measures;
}

base::duration measureWriteGap(const load_history &History, std::size_t Group,
                               base::duration Length) {
  std::vector<base::duration> Times{base::duration::zero(), Length};
  for (const request_record &Record : History.Records)
    if (Record.Plan.Group == Group && !isRead(Record.Plan.Kind) &&
        succeeded(Record))
      Times.push_back(std::min(Record.Done, Length));
  std::sort(Times.begin(), Times.end());
  base::duration Longest{};
  for (std::size_t Index = 1; Index < Times.size(); ++Index)
    Longest = std::max(Longest, Times[Index] - Times[Index - 1]);
  return Longest;
}

void addRecord(const request_record &Record, load_measures &Measures) {
  // Longer than the scheduler delays a thread on a busy machine.
  constexpr base::duration LateStart = std::chrono::milliseconds(50);
  ++Measures.Requests;
  Measures.SentLate += Record.Sent - Record.Plan.At > LateStart ? 1 : 0;
  if (!succeeded(Record)) {
    ++Measures.Errors[std::to_string(Record.Status) + " " + Record.Code];
    return;
  }
  ++Measures.Succeeded;
  base::duration Latency = Record.Done - Record.Plan.At;
  (isRead(Record.Plan.Kind) ? Measures.Reads : Measures.Writes).add(Latency);
}

} // namespace

double account_measures::served() const {
  return std::min(1.0, share(Answered, WithinRate));
}

base::duration load_measures::longestWriteGap() const {
  auto Longest = std::max_element(WriteGaps.begin(), WriteGaps.end());
  return Longest == WriteGaps.end() ? base::duration::zero() : *Longest;
}

double load_measures::worstServed() const {
  double Worst = 1;
  for (const account_measures &Account : Accounts)
    Worst = std::min(Worst, Account.served());
  return Worst;
}

double load_measures::refusalShare() const {
  std::uint64_t Refused = 0;
  std::uint64_t WithinRate = 0;
  for (const account_measures &Account : Accounts) {
    Refused += Account.RefusedWithinRate;
    WithinRate += Account.WithinRate;
  }
  return WithinRate == 0 ? 0.0 : share(Refused, WithinRate);
}

load_measures measureLoad(const load_history &History, std::size_t Groups,
                          base::duration Length) {
  load_measures Measures;
  std::uint64_t TolerantReads = 0;
  std::uint64_t FromReplicas = 0;
  for (const request_record &Record : History.Records) {
    addRecord(Record, Measures);
    if (Record.Plan.Kind != request_kind::Read || !succeeded(Record))
      continue;
    ++TolerantReads;
    FromReplicas += Record.ServedBy.ends_with("role=replica") ? 1 : 0;
  }
  Measures.ReplicaShare = share(FromReplicas, TolerantReads);
  for (std::size_t Group = 0; Group < Groups; ++Group)
    Measures.WriteGaps.push_back(measureWriteGap(History, Group, Length));
  for (std::size_t Index = 0; Index < History.Accounts.size(); ++Index)
    Measures.Accounts.push_back(measureAccount(History, Index));
  return Measures;
}

double scoreOf(const load_measures &Measures, const score_weights &Weights) {
  constexpr double WorstGapSeconds = 10;
  constexpr double WorstRefusalShare = 0.01;
  double Gap =
      std::chrono::duration<double>(Measures.longestWriteGap()).count();
  return Weights.WriteGap * std::max(0.0, 1 - Gap / WorstGapSeconds) +
         Weights.Refusals *
             std::max(0.0, 1 - Measures.refusalShare() / WorstRefusalShare) +
         Weights.WorstServed * Measures.worstServed() +
         Weights.ReplicaShare * Measures.ReplicaShare;
}

} // namespace radishrelay::cli
