#include "failover_runs.h"
#include "lease_only_strategy.h"

#include <boost/program_options.hpp>

#include <iomanip>
#include <iostream>

namespace {

using namespace radishrelay;
using namespace radishrelay::bench;
using std::chrono::microseconds;
using std::chrono::milliseconds;

double toMilliseconds(base::duration Length) {
  return static_cast<double>(Length.count()) / 1000.0;
}

double quantile(std::vector<base::duration> Samples, double Probability) {
  if (Samples.empty())
    return 0;
  std::ranges::sort(Samples);
  double Rank = Probability * static_cast<double>(Samples.size() - 1);
  return toMilliseconds(Samples[static_cast<std::size_t>(Rank)]);
}

failover_case makeCase(const std::string &Deployment, base::duration Latency) {
  failover_case Case;
  Case.Deployment = Deployment;
  Case.Latency = Latency;
  return Case;
}

std::vector<failover_case> strategies(const failover_case &Deployment) {
  std::vector<failover_case> Cases(4, Deployment);
  Cases[0].Strategy = std::make_shared<lease_only_strategy>();
  Cases[0].Timing.ProbeInterval = Cases[0].Timing.ProbeTimeout =
      std::chrono::seconds(1);
  Cases[0].Timing.FailedProbeThreshold = 3;
  // A host's suspicion has to last until the others' leases have run out.
  Cases[0].Timing.VoteLifetime = std::chrono::seconds(4);
  Cases[1].Strategy = std::make_shared<groups::term_lease_strategy>();
  Cases[2].Strategy = std::make_shared<groups::majority_strategy>();
  Cases[3].Strategy = std::make_shared<groups::stored_term_majority_strategy>();
  return Cases;
}

const char *nameOf(failure_kind Failure) {
  static constexpr const char *Names[] = {"crash", "partition",
                                          "crash_in_store_outage"};
  return Names[static_cast<std::size_t>(Failure)];
}

base::json measure(failover_case Case, std::uint64_t Seeds) {
  failover_measures Measures = runFailovers(Case, Seeds);
  return {{"deployment", Case.Deployment},
          {"strategy", Case.Strategy->name()},
          {"failure", nameOf(Case.Failure)},
          {"seeds", Seeds},
          {"gap_median_ms", quantile(Measures.GapFromFailure, 0.5)},
          {"gap_worst_ms", quantile(Measures.GapFromFailure, 1)},
          {"detected_gap_median_ms", quantile(Measures.GapFromDetection, 0.5)},
          {"detected_gap_worst_ms", quantile(Measures.GapFromDetection, 1)},
          {"never_served", Measures.NeverServed},
          {"acknowledged", Measures.Acknowledged},
          {"lost", Measures.Lost},
          {"unknown", Measures.Unknown},
          {"not_run", Measures.NotRun},
          {"latency_median_ms", quantile(Measures.Latency, 0.5)},
          {"latency_p99_ms", quantile(Measures.Latency, 0.99)}};
}

base::json measureOutage(const failover_case &Case, std::uint64_t Seeds) {
  store_outage_measures Measures = runStoreOutages(Case, Seeds);
  return {
      {"deployment", Case.Deployment}, {"strategy", Case.Strategy->name()},
      {"failure", "store_outage_10s"}, {"seeds", Seeds},
      {"writes", Measures.Started},    {"acknowledged", Measures.Acknowledged}};
}

void printRow(const base::json &Row) {
  std::cout << "|";
  for (const auto &[Name, Value] : Row.items()) {
    if (Value.is_number_float())
      std::cout << ' ' << std::fixed << std::setprecision(1)
                << Value.get<double>() << " |";
    else if (Value.is_string())
      std::cout << ' ' << Value.get<std::string>() << " |";
    else
      std::cout << ' ' << Value.dump() << " |";
  }
  std::cout << std::endl;
}

void printHeader(const base::json &Row) {
  std::cout << "\n|";
  for (const auto &[Name, Value] : Row.items())
    std::cout << ' ' << Name << " |";
  std::cout << "\n|";
  for (std::size_t Column = 0; Column < Row.size(); ++Column)
    std::cout << "---|";
  std::cout << "\n";
}

base::json runAll(std::uint64_t Seeds, bool IsTable) {
  base::json Rows = base::json::array();
  auto Add = [&](const base::json &Row) {
    bool IsNewShape = Rows.empty() || Rows.back().size() != Row.size();
    if (IsTable && IsNewShape)
      printHeader(Row);
    if (IsTable)
      printRow(Row);
    Rows.push_back(Row);
  };
  std::vector<failover_case> Cases;
  for (const auto &Deployment : {makeCase("granite", microseconds(1000)),
                                 makeCase("amman", microseconds(1500))})
    for (const failover_case &Case : strategies(Deployment))
      Cases.push_back(Case);
  for (failure_kind Failure : {failure_kind::Crash, failure_kind::Partition,
                               failure_kind::CrashInStoreOutage})
    for (failover_case Case : Cases) {
      Case.Failure = Failure;
      Add(measure(Case, Seeds));
    }
  for (const failover_case &Case : Cases)
    Add(measureOutage(Case, Seeds));
  return Rows;
}

} // namespace

int main(int Count, char **Arguments) {
  namespace options = boost::program_options;
  options::options_description Description("bench_failover");
  std::uint64_t Seeds = 0;
  auto Add = Description.add_options();
  Add("help", "print this text");
  Add("seeds", options::value(&Seeds)->default_value(40),
      "number of seeds per row");
  Add("json", "print JSON instead of a table");
  options::variables_map Values;
  try {
    options::store(options::parse_command_line(Count, Arguments, Description),
                   Values);
    options::notify(Values);
  } catch (const options::error &Error) {
    std::cerr << "bench_failover: " << Error.what() << "\n" << Description;
    return 2;
  }
  if (Values.contains("help")) {
    std::cout << Description;
    return 0;
  }
  base::json Rows = runAll(Seeds, !Values.contains("json"));
  if (Values.contains("json"))
    std::cout << Rows.dump(1) << "\n";
  return 0;
}
