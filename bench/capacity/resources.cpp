#include "resources.h"

#include <filesystem>
#include <fstream>
#include <iterator>

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

namespace radishrelay::bench {

namespace {

constexpr double MicrosecondsPerSecond = 1'000'000;

double usedMicroseconds(int Who) {
  rusage Usage{};
  getrusage(Who, &Usage);
  auto Seconds =
      static_cast<double>(Usage.ru_utime.tv_sec + Usage.ru_stime.tv_sec);
  auto Rest =
      static_cast<double>(Usage.ru_utime.tv_usec + Usage.ru_stime.tv_usec);
  return Seconds * MicrosecondsPerSecond + Rest;
}

} // namespace

double threadMicroseconds() { return usedMicroseconds(RUSAGE_THREAD); }

double processMicroseconds() { return usedMicroseconds(RUSAGE_SELF); }

double residentBytes() {
  malloc_trim(0);
  std::ifstream File("/proc/self/statm");
  double Total = 0;
  double Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

std::size_t threadCount() {
  std::filesystem::directory_iterator Threads("/proc/self/task");
  return static_cast<std::size_t>(std::distance(begin(Threads), end(Threads)));
}

} // namespace radishrelay::bench
