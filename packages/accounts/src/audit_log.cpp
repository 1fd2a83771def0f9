#include "radishrelay/accounts/audit_log.h"

namespace radishrelay::accounts {

void audit_log::count(const base::account_id &Account, audit_outcome Outcome,
                      audit_minute Minute) {
  bool Full = Minutes.size() >= Options.MaxMinutes;
  if (Full && Minute < Minutes.begin()->first)
    return;
  minute_counts &Counts = Minutes[Minute];
  bool Known =
      Counts.count(Account) > 0 || Counts.size() < Options.MaxAccountsPerMinute;
  ++Counts[Known ? Account : base::account_id()]
          [static_cast<std::size_t>(Outcome)];
  if (Minutes.size() > Options.MaxMinutes)
    Minutes.erase(Minutes.begin());
}

std::uint64_t audit_log::total(const base::account_id &Account,
                               audit_outcome Outcome) const {
  std::uint64_t Sum = 0;
  for (const auto &[Minute, Counts] : Minutes)
    if (auto Found = Counts.find(Account); Found != Counts.end())
      Sum += Found->second[static_cast<std::size_t>(Outcome)];
  return Sum;
}

base::json audit_log::dump() const {
  base::json Dump = base::json::array();
  for (const auto &[Minute, Counts] : Minutes)
    for (const auto &[Account, ByOutcome] : Counts) {
      base::json Line = {{"minute", Minute}, {"account", Account.str()}};
      for (std::size_t Index = 0; Index < AuditOutcomeCount; ++Index)
        if (ByOutcome[Index] > 0)
          Line[std::string(toString(static_cast<audit_outcome>(Index)))] =
              ByOutcome[Index];
      Dump.push_back(std::move(Line));
    }
  return Dump;
}

std::string audit_log::jsonLines() const {
  std::string Lines;
  for (const base::json &Line : dump())
    Lines += Line.dump() + "\n";
  return Lines;
}

} // namespace radishrelay::accounts
