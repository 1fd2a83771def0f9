// Compares ways to hold the limits of client accounts over a fleet of hosts,
// on virtual time.
#include "report.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

using namespace radishrelay;
using namespace radishrelay::bench_limits;

struct bench_options {
  std::uint64_t Seeds = 5;
  std::uint64_t FirstSeed = 1;
  std::string Strategy;
  std::string Deployment;
  bool Json = false;
  bool Help = false;
};

bench_options parseOptions(int ArgumentCount, char **Arguments) {
  namespace options = boost::program_options;
  bench_options Result;
  options::options_description Description("bench_limits");
  auto Add = Description.add_options();
  Add("seeds", options::value(&Result.Seeds), "number of seeds");
  Add("first-seed", options::value(&Result.FirstSeed), "first seed");
  Add("strategy", options::value(&Result.Strategy), "only this strategy");
  Add("deployment", options::value(&Result.Deployment),
      "only this deployment: granite or amman");
  Add("json", options::bool_switch(&Result.Json), "print JSON");
  Add("help", options::bool_switch(&Result.Help), "print this text");
  options::variables_map Values;
  options::store(
      options::parse_command_line(ArgumentCount, Arguments, Description),
      Values);
  options::notify(Values);
  if (Result.Help)
    std::cout << Description;
  return Result;
}

base::json runAll(const bench_options &Options) {
  base::json Summaries = base::json::array();
  for (const deployment &Deployment : {graniteLedger(), amman()})
    for (const strategy_choice &Choice : allStrategies()) {
      bool Selected =
          (Options.Strategy.empty() || Options.Strategy == Choice.Name) &&
          (Options.Deployment.empty() || Options.Deployment == Deployment.Name);
      if (!Selected)
        continue;
      measurement Total;
      for (std::uint64_t Seed = 0; Seed < Options.Seeds; ++Seed)
        Total.add(measure(Choice, Deployment, Options.FirstSeed + Seed));
      Summaries.push_back(summarize(Choice.Name, Deployment, Total));
    }
  return Summaries;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  try {
    bench_options Options = parseOptions(ArgumentCount, Arguments);
    if (Options.Help)
      return 0;
    base::json Summaries = runAll(Options);
    if (Options.Json)
      std::cout << Summaries.dump(2) << '\n';
    else
      printTable(std::cout, Summaries);
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << "bench_limits: " << Error.what() << '\n';
    return 2;
  }
}
