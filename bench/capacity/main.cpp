#include "measurements.h"

#include <boost/program_options.hpp>

#include <cstdio>
#include <iostream>
#include <string>

namespace {

namespace options = boost::program_options;
using namespace radishrelay;

struct section {
  const char *Name;
  bench::slopes (*Measure)();
};

// Memory is measured first, before other sections have used the heap.
constexpr section Sections[] = {
    {"listener", bench::measureListener}, {"groups", bench::measureGroups},
    {"fleet", bench::measureFleet},       {"limits", bench::measureLimits},
    {"requests", bench::measureRequests}, {"peers", bench::measurePeers}};

void measure(const std::string &Only, bool Json) {
  base::json All = base::json::array();
  for (const section &Section : Sections) {
    if (!Only.empty() && Only != Section.Name)
      continue;
    if (!Json)
      std::printf("== %s\n", Section.Name);
    for (const bench::slope &Slope : Section.Measure()) {
      if (!Json)
        Slope.print();
      All.push_back(Slope.json());
    }
  }
  if (Json)
    std::printf("%s\n", All.dump(2).c_str());
}

} // namespace

int main(int Count, char **Arguments) {
  std::string Only;
  options::options_description Known("bench_capacity");
  Known.add_options()("help", "show the options")("json", "print JSON")(
      "part", options::value(&Only), "one section, by name");
  try {
    options::variables_map Given;
    options::store(options::parse_command_line(Count, Arguments, Known), Given);
    options::notify(Given);
    if (Given.contains("help")) {
      std::cout << Known;
      return 0;
    }
    measure(Only, Given.contains("json"));
  } catch (const std::exception &Error) {
    std::cerr << "bench_capacity: " << Error.what() << '\n';
    return 1;
  }
  return 0;
}
