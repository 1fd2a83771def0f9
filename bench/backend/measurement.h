#ifndef RADISHRELAY_BENCH_BACKEND_MEASUREMENT_H
#define RADISHRELAY_BENCH_BACKEND_MEASUREMENT_H

#include <sys/resource.h>

#include <cstddef>

namespace radishrelay::bench {

/// What a load took on the client's side.
struct measurement {
  std::size_t Statements = 0;
  double ElapsedSeconds = 0;
  /// Processor time of the thread or threads that talk to the server.
  double ProcessorSeconds = 0;
  /// Processor time of the thread that sends commands and takes events; zero
  /// for the blocking baseline, which has none.
  double CallerSeconds = 0;

  [[nodiscard]] double perSecond() const {
    return static_cast<double>(Statements) / ElapsedSeconds;
  }
  [[nodiscard]] double processorMicroseconds() const {
    return ProcessorSeconds * 1e6 / static_cast<double>(Statements);
  }
  [[nodiscard]] double callerMicroseconds() const {
    return CallerSeconds * 1e6 / static_cast<double>(Statements);
  }
};

/// Processor time of the calling thread so far.
inline double threadSeconds() {
  constexpr double Micro = 1e-6;
  rusage Usage{};
  getrusage(RUSAGE_THREAD, &Usage);
  auto Seconds = Usage.ru_utime.tv_sec + Usage.ru_stime.tv_sec;
  auto Microseconds = Usage.ru_utime.tv_usec + Usage.ru_stime.tv_usec;
  return static_cast<double>(Seconds) +
         static_cast<double>(Microseconds) * Micro;
}

} // namespace radishrelay::bench

#endif
