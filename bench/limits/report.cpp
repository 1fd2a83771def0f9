#include "report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <ostream>

namespace radishrelay::bench_limits {

namespace {

double percent(std::int64_t Part, std::int64_t Whole) {
  double Value =
      Whole > 0 ? 100.0 * static_cast<double>(Part) / static_cast<double>(Whole)
                : 0;
  return std::round(Value * 1000) / 1000;
}

const std::vector<request_counts> &countsOf(const measurement &Measured,
                                            run_phase Phase) {
  return Measured.Counts[static_cast<int>(Phase)];
}

/// Percentage of entitled requests that were refused, without the account
/// that sends more than its rate.
double falseRefusals(const deployment &Deployment, const measurement &Measured,
                     run_phase Phase) {
  request_counts Sum;
  const auto &Counts = countsOf(Measured, Phase);
  for (std::size_t Account = 0; Account < Counts.size(); ++Account)
    if (Account != Deployment.Surging)
      Sum.add(Counts[Account]);
  return percent(Sum.FalselyRefused, Sum.Entitled);
}

double perSecond(std::uint64_t Count, const measurement &Measured) {
  return std::round(10 * static_cast<double>(Count) / Measured.Seconds) / 10;
}

base::json accountsOf(const deployment &Deployment,
                      const measurement &Measured) {
  base::json Accounts = base::json::object();
  const auto &Counts = countsOf(Measured, run_phase::Steady);
  for (std::size_t Index = 0; Index < Counts.size(); ++Index)
    Accounts[Deployment.Accounts[Index].Account.str()] = {
        {"sent", Counts[Index].Sent},
        {"admitted", Counts[Index].Admitted},
        {"entitled", Counts[Index].Entitled}};
  return Accounts;
}

/// Lowest percentage of admitted against entitled of all accounts.
double worstServed(const measurement &Measured) {
  double Worst = 100;
  for (const request_counts &Counts : countsOf(Measured, run_phase::Steady))
    Worst = std::min(Worst, percent(Counts.Admitted, Counts.Entitled));
  return Worst;
}

struct column {
  const char *Name;
  const char *Title;
  int Width;
};

constexpr column Columns[] = {
    {"deployment", "deployment", 11},
    {"strategy", "strategy", 16},
    {"above_bound", "above bound", 13},
    {"false_refusals_steady_percent", "steady %", 10},
    {"false_refusals_host_lost_percent", "host lost %", 13},
    {"false_refusals_partition_percent", "partition %", 13},
    {"worst_served_percent", "worst %", 9},
    {"surging_served_percent", "surging %", 11},
    {"store_reads_per_second", "reads/s", 9},
    {"store_writes_per_second", "writes/s", 10},
    {"messages_per_second", "messages/s", 11},
};

} // namespace

base::json summarize(const std::string &Strategy, const deployment &Deployment,
                     const measurement &Measured) {
  const request_counts &Surging =
      countsOf(Measured, run_phase::Steady)[Deployment.Surging];
  auto Refusals = [&](run_phase Phase) {
    return falseRefusals(Deployment, Measured, Phase);
  };
  return {
      {"deployment", Deployment.Name},
      {"strategy", Strategy},
      {"above_bound", Measured.AboveBound},
      {"false_refusals_steady_percent", Refusals(run_phase::Steady)},
      {"false_refusals_host_lost_percent", Refusals(run_phase::HostLost)},
      {"false_refusals_partition_percent", Refusals(run_phase::Partition)},
      {"worst_served_percent", worstServed(Measured)},
      {"surging_served_percent", percent(Surging.Admitted, Surging.Entitled)},
      {"store_reads_per_second", perSecond(Measured.StoreReads, Measured)},
      {"store_writes_per_second", perSecond(Measured.StoreWrites, Measured)},
      {"messages_per_second", perSecond(Measured.Messages, Measured)},
      {"accounts_steady", accountsOf(Deployment, Measured)}};
}

void printTable(std::ostream &Out, const base::json &Summaries) {
  for (const column &Column : Columns)
    Out << std::setw(Column.Width) << std::left << Column.Title << ' ';
  Out << '\n';
  for (const base::json &Summary : Summaries) {
    for (const column &Column : Columns) {
      const base::json &Value = Summary[Column.Name];
      Out << std::setw(Column.Width) << std::left
          << (Value.is_string() ? Value.get<std::string>() : Value.dump())
          << ' ';
    }
    Out << '\n';
  }
}

} // namespace radishrelay::bench_limits
