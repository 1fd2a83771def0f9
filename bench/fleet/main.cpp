#include "bench_network.h"

#include <algorithm>
#include <cstdio>
#include <cstring>

namespace {

using namespace radishrelay;
using namespace radishrelay::bench;
using namespace std::chrono_literals;

constexpr base::duration WarmUp = 15s;
constexpr base::duration Measured = 10s;
constexpr base::duration Step = 10ms;
constexpr base::duration LongestWait = 30s;

double seconds(base::duration Duration) {
  return std::chrono::duration<double>(Duration).count();
}

/// Runs in steps until \p Done; returns the virtual time it took.
template <typename Predicate>
double waitFor(bench_network &Network, Predicate Done) {
  base::time_point Start = Network.Now;
  while (!Done() && Network.Now - Start < LongestWait)
    Network.run(Step);
  return seconds(Network.Now - Start);
}

base::json measure(const network_options &Options, int Changes) {
  bench_network Network(Options);
  Network.run(WarmUp);
  Network.resetTraffic();
  Network.run(Measured);
  network_traffic Quiet = Network.Traffic;
  std::uint64_t Suspicions = Network.FalseSuspicions;
  std::uint64_t Gone = Network.FalselyGone;
  std::size_t Fresh = Network.freshHosts();
  std::vector<double> InForce;
  for (int Change = 0; Change < Changes; ++Change) {
    Network.publish();
    InForce.push_back(
        waitFor(Network, [&] { return Network.holders() == Options.Hosts; }));
  }
  Network.kill(Options.Hosts - 1);
  double Detection = waitFor(
      Network, [&] { return Network.believers(Options.Hosts - 1) == 0; });
  auto Hosts = static_cast<double>(Options.Hosts);
  double PerHost = Hosts * seconds(Measured);
  double PerWitness =
      static_cast<double>(Network.witnesses()) * seconds(Measured);
  return {{"hosts", Options.Hosts},
          {"domains", Options.Domains},
          {"loss", Options.Loss},
          {"seed", Options.Seed},
          {"messages_per_s", static_cast<double>(Quiet.Packets) / PerHost},
          {"bytes_per_s",
           static_cast<double>(Quiet.PacketBytes + Quiet.CallBytes) / PerHost},
          {"witness_messages_per_s",
           static_cast<double>(Quiet.WitnessPackets) / PerWitness},
          {"witness_bytes_per_s",
           static_cast<double>(Quiet.WitnessBytes) / PerWitness},
          {"witness_us_per_s",
           static_cast<double>(Quiet.WitnessNanoseconds) / 1000.0 / PerWitness},
          {"store_reads_per_s",
           static_cast<double>(Quiet.StoreReads) / seconds(Measured)},
          {"fresh_hosts", Fresh},
          {"in_force_max_s", *std::max_element(InForce.begin(), InForce.end())},
          {"detection_s", Detection},
          {"false_suspicions", Suspicions},
          {"falsely_gone", Gone},
          {"us_per_message", static_cast<double>(Quiet.Nanoseconds) / 1000.0 /
                                 static_cast<double>(Quiet.Packets)}};
}

void printRow(const base::json &Row) {
  std::printf(
      "%5zu %4zu %5.2f %4zu %8.1f %8.0f %8.1f %6zu %8.2f %8.2f %8zu "
      "%6zu %8.1f %8.1f %8.0f %8.0f\n",
      Row["hosts"].get<std::size_t>(), Row["domains"].get<std::size_t>(),
      Row["loss"].get<double>(), Row["seed"].get<std::size_t>(),
      Row["messages_per_s"].get<double>(), Row["bytes_per_s"].get<double>(),
      Row["store_reads_per_s"].get<double>(),
      Row["fresh_hosts"].get<std::size_t>(),
      Row["in_force_max_s"].get<double>(), Row["detection_s"].get<double>(),
      Row["false_suspicions"].get<std::size_t>(),
      Row["falsely_gone"].get<std::size_t>(),
      Row["us_per_message"].get<double>(),
      Row["witness_messages_per_s"].get<double>(),
      Row["witness_bytes_per_s"].get<double>(),
      Row["witness_us_per_s"].get<double>());
  std::fflush(stdout);
}

} // namespace

/// bench_fleet [--json] [--hosts N]: all sizes, or one.
int main(int Count, char **Arguments) {
  bool Json = false;
  std::size_t Only = 0;
  for (int Index = 1; Index < Count; ++Index) {
    if (std::strcmp(Arguments[Index], "--json") == 0)
      Json = true;
    if (std::strcmp(Arguments[Index], "--hosts") == 0 && Index + 1 < Count)
      Only = std::strtoull(Arguments[Index + 1], nullptr, 10);
  }
  const network_options Sizes[] = {{13, 3},  {21, 3},   {100, 3},  {100, 12},
                                   {500, 3}, {500, 12}, {2600, 12}};
  base::json Rows = base::json::array();
  if (!Json)
    std::printf(
        "hosts doms  loss seed    msg/s  bytes/s  reads/s  fresh "
        "in_force detected susp. gone us/msg  w.msg/s w.byte/s  w.us/s\n");
  for (network_options Options : Sizes) {
    if (Only != 0 && Options.Hosts != Only)
      continue;
    for (double Loss : {0.0, 0.05}) {
      Options.Loss = Loss;
      bool Small = Options.Hosts <= 100;
      for (Options.Seed = 1; Options.Seed <= (Small ? 3U : 1U);
           ++Options.Seed) {
        Rows.push_back(measure(Options, Small ? 20 : 3));
        if (!Json)
          printRow(Rows.back());
      }
    }
  }
  if (Json)
    std::printf("%s\n", Rows.dump(2).c_str());
}
