#include "history_checker.h"

#include "admission_window.h"

namespace radishrelay::cli {

namespace {

using broken_promises = std::vector<broken_promise>;

void checkAnswer(const request_record &Record, broken_promises &Broken) {
  if (!succeeded(Record))
    return;
  if (Record.Echo != Record.Id)
    Broken.push_back({promise::AnswerBelongsToRequest,
                      "sent " + Record.Id + ", received " + Record.Echo});
  if (!isRead(Record.Plan.Kind) || Record.Subject.empty())
    return;
  if (Record.Found == 0)
    Broken.push_back({promise::ReadSeesOwnWrites,
                      Record.Id + " did not find " + Record.Subject +
                          ", served by " + Record.ServedBy});
  if (Record.Found > 1)
    Broken.push_back({promise::WriteRunsAtMostOnce,
                      Record.Id + " found " + std::to_string(Record.Found) +
                          " rows of " + Record.Subject});
}

void checkRows(const request_record &Record, const row_counts &Rows,
               broken_promises &Broken) {
  auto Found = Rows.find(Record.Id);
  std::int64_t Count = Found == Rows.end() ? 0 : Found->second;
  if (Count > 1)
    Broken.push_back({promise::WriteRunsAtMostOnce,
                      Record.Id + ": " + std::to_string(Count) + " rows"});
  if (Count == 0 && succeeded(Record))
    Broken.push_back({promise::AcknowledgedWriteIsKept,
                      Record.Id + " served by " + Record.ServedBy});
  if (Count > 0 && Record.Ran == groups::ran_state::No)
    Broken.push_back(
        {promise::NotRunIsTrue, Record.Id + " answered " + Record.Code});
}

void checkRates(const load_history &History, broken_promises &Broken) {
  for (std::size_t Index = 0; Index < History.Accounts.size(); ++Index) {
    const load_account &Account = History.Accounts[Index];
    std::vector<admission_interval> Admitted;
    for (const request_record &Record : History.Records)
      if (Record.Plan.Account == Index && succeeded(Record))
        Admitted.push_back({Record.Sent, Record.Done});
    double Excess = largestWindowExcess(
        Admitted, static_cast<double>(Account.RatePerSecond));
    if (Excess > static_cast<double>(Account.Burst))
      Broken.push_back({promise::AccountStaysWithinRate,
                        Account.Name + ": " + std::to_string(Excess) +
                            " admitted above the rate in one window, burst " +
                            std::to_string(Account.Burst)});
  }
}

} // namespace

std::string_view toString(promise Promise) {
  switch (Promise) {
  case promise::AnswerBelongsToRequest:
    return "answer belongs to its request";
  case promise::ReadSeesOwnWrites:
    return "read sees its session's writes";
  case promise::AcknowledgedWriteIsKept:
    return "acknowledged write is kept";
  case promise::WriteRunsAtMostOnce:
    return "write runs at most once";
  case promise::NotRunIsTrue:
    return "\"not run\" is true";
  case promise::AccountStaysWithinRate:
    return "client account stays within rate and burst";
  }
  return "";
}

std::vector<broken_promise> checkHistory(const load_history &History) {
  broken_promises Broken;
  for (const request_record &Record : History.Records) {
    checkAnswer(Record, Broken);
    if (History.Rows && !isRead(Record.Plan.Kind))
      checkRows(Record, *History.Rows, Broken);
  }
  checkRates(History, Broken);
  return Broken;
}

} // namespace radishrelay::cli
