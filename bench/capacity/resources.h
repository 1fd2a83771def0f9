#ifndef RADISHRELAY_BENCH_CAPACITY_RESOURCES_H
#define RADISHRELAY_BENCH_CAPACITY_RESOURCES_H

#include <cstddef>

namespace radishrelay::bench {

/// Processor time of the calling thread in microseconds, user and system.
double threadMicroseconds();

/// Processor time of all threads of the process in microseconds.
double processMicroseconds();

/// Resident memory in bytes (/proc/self/statm), after free pages were given
/// back, so that a later growth is not hidden by them.
double residentBytes();

/// Threads of the process.
std::size_t threadCount();

/// Shortest measured time in microseconds. Kernels that count processor time by
/// timer ticks have steps of 4,000 microseconds.
constexpr double ShortestMeasurement = 200'000;

/// Processor time per call of \p Run in microseconds, over rounds of \p Count
/// calls until ShortestMeasurement has passed.
template <typename Action>
double microsecondsPerCall(std::size_t Count, Action Run) {
  double Start = threadMicroseconds();
  double Calls = 0;
  double Spent = 0;
  while (Spent < ShortestMeasurement) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Run(Index);
    Calls += static_cast<double>(Count);
    Spent = threadMicroseconds() - Start;
  }
  return Spent / Calls;
}

} // namespace radishrelay::bench

#endif
