// Measures read routing, the fair queue and owner hosts on virtual time.

#include "fairness_scenario.h"
#include "owner_scenario.h"
#include "report.h"
#include "session_scenario.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <string>

namespace {

using namespace radishrelay;
using namespace radishrelay::bench;

double rounded(double Value, double Unit) {
  return std::round(Value / Unit) * Unit;
}

double percent(double Part, double Whole) {
  double Share = Whole == 0 ? 0 : 100 * Part / Whole;
  return std::round(Share * 100) / 100;
}

double milliseconds(base::duration Time) {
  return std::round(static_cast<double>(Time.count()) / 10) / 100;
}

std::string nameOf(read_policy Policy) {
  constexpr std::array<const char *, 4> Names{"router", "primary only",
                                              "sticky 1 s", "sticky 2 lags"};
  return Names.at(static_cast<std::size_t>(Policy));
}

base::json sessionRow(session_settings Settings, std::uint64_t Seeds) {
  session_result Sum;
  for (Settings.Seed = 1; Settings.Seed <= Seeds; ++Settings.Seed)
    addResult(Sum, runSessions(Settings));
  std::vector<base::duration> &Times = Sum.ReadLatencies;
  std::sort(Times.begin(), Times.end());
  base::json Row = base::json::object();
  Row["deployment"] = Settings.Deployment.Name;
  Row["acknowledged"] = Settings.NeedsMajority ? "majority" : "primary";
  Row["lag_ms"] = milliseconds(Settings.Lag);
  Row["policy"] = nameOf(Settings.Policy);
  Row["reads"] = Sum.Reads;
  Row["replica_%"] = percent(static_cast<double>(Sum.ReplicaReads),
                             static_cast<double>(Sum.Reads));
  Row["stale"] = Sum.StaleReads;
  Row["refused"] = Sum.RefusedReads;
  Row["repeated_%"] = percent(static_cast<double>(Sum.RepeatedRuns),
                              static_cast<double>(Sum.Reads));
  Row["p50_ms"] = milliseconds(Times[Times.size() / 2]);
  Row["p99_ms"] = milliseconds(Times[Times.size() * 99 / 100]);
  return Row;
}

base::json sessionRows(std::uint64_t Seeds) {
  base::json Rows = base::json::array();
  for (const deployment &Deployment : {graniteLedger(), ammanVane()})
    for (bool NeedsMajority : {true, false})
      for (int LagMs : {10, 100, 500})
        for (read_policy Policy :
             {read_policy::Router, read_policy::PrimaryOnly,
              read_policy::StickySessions, read_policy::StickyTwiceLag}) {
          session_settings Settings{Deployment, Policy};
          Settings.Lag = std::chrono::milliseconds(LagMs);
          Settings.NeedsMajority = NeedsMajority;
          Rows.push_back(sessionRow(Settings, Seeds));
        }
  return Rows;
}

/// Trades the replica share against latency.
base::json surchargeRows(std::uint64_t Seeds) {
  base::json Rows = base::json::array();
  for (bool NeedsMajority : {true, false})
    for (int LagMs : {10, 100, 500})
      for (int SurchargeMs : {0, 25, 100, 150, 250, 1000}) {
        session_settings Settings{graniteLedger(), read_policy::Router};
        Settings.Lag = std::chrono::milliseconds(LagMs);
        Settings.NeedsMajority = NeedsMajority;
        Settings.PrimarySurcharge = std::chrono::milliseconds(SurchargeMs);
        base::json Row = base::json::object();
        Row["surcharge_ms"] = SurchargeMs;
        Row.update(sessionRow(Settings, Seeds));
        Rows.push_back(Row);
      }
  return Rows;
}

base::json fairnessRow(fairness_settings Settings, std::uint64_t Seeds) {
  fairness_result Worst;
  std::uint64_t Unserved = 0;
  for (Settings.Seed = 1; Settings.Seed <= Seeds; ++Settings.Seed) {
    fairness_result Result = runFairness(Settings);
    Worst.WorstShare = std::min(Worst.WorstShare, Result.WorstShare);
    Worst.ExcessShare = std::min(Worst.ExcessShare, Result.ExcessShare);
    Unserved += Result.Unserved;
  }
  base::json Row = base::json::object();
  Row["deployment"] = Settings.Deployment.Name;
  Row["load"] = Settings.Load;
  Row["queue"] = Settings.IsFair ? "fair" : "FIFO";
  Row["worst_%"] = percent(Worst.WorstShare, 1);
  Row["excess_account_%"] = percent(Worst.ExcessShare, 1);
  Row["others_unserved"] = Unserved;
  return Row;
}

base::json fairnessRows(std::uint64_t Seeds) {
  base::json Rows = base::json::array();
  for (const deployment &Deployment : {graniteLedger(), ammanVane()})
    for (double Load : {0.7, 0.9, 1.0})
      for (bool IsFair : {true, false})
        Rows.push_back(fairnessRow({Deployment, IsFair, Load, 5, 1}, Seeds));
  return Rows;
}

base::json ownerRow(const owner_settings &Settings) {
  owner_result Result = measureOwners(Settings);
  base::json Row = base::json::object();
  Row["databases"] = Settings.Databases;
  Row["hosts"] = Settings.Hosts;
  Row["routing"] = Settings.HasOwners ? "owners" : "every host";
  Row["quota"] = Result.Quota;
  Row["conn/instance"] = Result.ConnectionsPerInstance;
  Row["conn/host"] = rounded(Result.MeanConnectionsPerHost, 1);
  Row["max conn/host"] = Result.MaxConnectionsPerHost;
  Row["probes/s"] = Result.ProbesPerSecond;
  Row["probes/s/host"] = rounded(Result.ProbesPerSecondAndHost, 1);
  Row["p50_ms"] = nullptr;
  Row["p99_ms"] = nullptr;
  if (Result.IsFeasible) {
    Row["p50_ms"] = milliseconds(Result.MedianLatency);
    Row["p99_ms"] = milliseconds(Result.P99Latency);
  }
  return Row;
}

base::json ownerRows() {
  struct fleet {
    std::size_t Hosts;
    std::size_t Domains;
  };
  constexpr std::array<fleet, 4> Fleets{
      {{15, 3}, {21, 3}, {120, 6}, {2604, 12}}};
  base::json Rows = base::json::array();
  for (std::size_t Databases : {3, 50, 200, 1000, 5600})
    for (const fleet &Fleet : Fleets)
      for (bool HasOwners : {false, true})
        Rows.push_back(
            ownerRow({Databases, Fleet.Hosts, Fleet.Domains, HasOwners, 1}));
  return Rows;
}

int run(const boost::program_options::variables_map &Values) {
  auto Seeds = Values["seeds"].as<std::uint64_t>();
  auto Part = Values["part"].as<std::string>();
  base::json Report = base::json::object();
  if (Part == "all" || Part == "sessions")
    Report["sessions"] = sessionRows(Seeds);
  if (Part == "all" || Part == "surcharge")
    Report["surcharge"] = surchargeRows(Seeds);
  if (Part == "all" || Part == "fairness")
    Report["fairness"] = fairnessRows(Seeds);
  if (Part == "all" || Part == "owners")
    Report["owners"] = ownerRows();
  if (Values.contains("json")) {
    std::cout << Report.dump(2) << "\n";
    return 0;
  }
  for (const auto &Table : Report.items())
    printTable(std::cout, Table.key(), Table.value());
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  namespace options = boost::program_options;
  options::options_description Description("bench_reads");
  Description.add_options()("help", "print this text")(
      "json", "print JSON instead of tables")(
      "seeds", options::value<std::uint64_t>()->default_value(10),
      "number of seeds per row")(
      "part", options::value<std::string>()->default_value("all"),
      "all, sessions, surcharge, fairness or owners");
  try {
    options::variables_map Values;
    options::store(options::parse_command_line(Count, Arguments, Description),
                   Values);
    options::notify(Values);
    if (Values.contains("help")) {
      std::cout << Description;
      return 0;
    }
    return run(Values);
  } catch (const options::error &Error) {
    std::fprintf(stderr, "bench_reads: %s\n", Error.what());
    return 2;
  }
}
