#include "blocking_load.h"
#include "thread_load.h"

#include "radishrelay/backend/stand_in_group.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <vector>

namespace {

using namespace radishrelay;
using bench::load;
using bench::measurement;

struct options {
  std::size_t Runs = 0;
  std::size_t Rounds = 0;
};

backend::stand_in_options groupOptions() {
  backend::stand_in_options Options;
  Options.Instances = 1;
  Options.ConnectionLimit = 1000;
  Options.RecordLimitBytes = 0;
  Options.Schema = {
      {"CREATE TABLE permits (id INTEGER PRIMARY KEY, status TEXT)", {}},
      {"INSERT INTO permits VALUES (1, 'filed')", {}}};
  return Options;
}

measurement median(std::vector<measurement> Rounds) {
  auto Middle = Rounds.begin() + static_cast<std::ptrdiff_t>(Rounds.size() / 2);
  std::nth_element(Rounds.begin(), Middle, Rounds.end(),
                   [](const measurement &Left, const measurement &Right) {
                     return Left.perSecond() < Right.perSecond();
                   });
  return *Middle;
}

void report(std::size_t Connections, const measurement &Blocking,
            const measurement &Thread) {
  std::printf("%11zu | %9.0f | %9.0f | %5.2f | %8.1f | %8.1f | %5.2f | %8.1f\n",
              Connections, Blocking.perSecond(), Thread.perSecond(),
              Thread.perSecond() / Blocking.perSecond(),
              Blocking.processorMicroseconds(), Thread.processorMicroseconds(),
              Thread.processorMicroseconds() / Blocking.processorMicroseconds(),
              Thread.callerMicroseconds());
}

void compare(const load &Load, std::size_t Rounds) {
  std::vector<measurement> Blocking;
  std::vector<measurement> Thread;
  // Alternating, so that other work on the machine affects both.
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    Blocking.push_back(bench::runBlocking(Load));
    Thread.push_back(bench::runThroughThread(Load));
  }
  report(Load.Connections, median(Blocking), median(Thread));
}

options parse(int Count, char **Arguments) {
  namespace po = boost::program_options;
  options Options;
  po::options_description Known("Options");
  Known.add_options()("runs", po::value(&Options.Runs)->default_value(20'000),
                      "runs per measurement")(
      "rounds", po::value(&Options.Rounds)->default_value(5),
      "measurements of each kind; the median is reported");
  po::variables_map Values;
  po::store(po::parse_command_line(Count, Arguments, Known), Values);
  po::notify(Values);
  return Options;
}

/// One read, as a route without a session token runs it.
std::vector<backend::statement> read() {
  return {{"SELECT id, status FROM permits WHERE id = $1", {"1"}}};
}

/// One write with the status that its acknowledgement needs.
std::vector<backend::statement> write() {
  return {{"BEGIN", {}},
          {"UPDATE permits SET status = $1 WHERE id = $2", {"approved", "1"}},
          {"COMMIT", {}},
          {"SELECT group_status()", {}}};
}

void measure(const char *Name, const std::string &Address,
             const std::vector<backend::statement> &Statements,
             const options &Options) {
  std::printf("%s\n", Name);
  std::printf("            |    statements per second      | processor us per "
              "statement   | caller\nconnections |  blocking |    thread | "
              "ratio | blocking |   thread | ratio | thread\n");
  for (std::size_t Connections : {1, 8, 64})
    compare({Address, Statements, Connections, Options.Runs}, Options.Rounds);
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    options Options = parse(Count, Arguments);
    backend::stand_in_group Group(groupOptions());
    measure("read", Group.address(0), read(), Options);
    measure("write transaction", Group.address(0), write(), Options);
  } catch (const std::exception &Error) {
    std::cerr << "bench_backend: " << Error.what() << '\n';
    return 2;
  }
}
