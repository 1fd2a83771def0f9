/// \file
/// The platform's watch over the memory of the processes.
#ifndef REVIEW_STAND_INS_2_GUARD_HH
#define REVIEW_STAND_INS_2_GUARD_HH

#include "deployment.hh"

namespace review2 {

/// Of the settings and the sheet; a process above it is killed.
constexpr double MemoryMb = 182;
constexpr int EndsPerProcess = 3;

/// The platform: kills processes above the memory of their machine, and starts
/// processes that have ended again.
class guard {
public:
  guard(deployment &Deployment, record &Record)
      : Deployment(Deployment), Record(Record), Ends(Deployment.Daemons.size()),
        Peaks(Deployment.Daemons.size()) {
    for (std::size_t Index = 0; Index < Ends.size(); ++Index)
      Threads.emplace_back([this, Index] {
        while (!IsStopping) {
          check(Index);
          std::this_thread::sleep_for(20ms);
        }
      });
  }
  void stop() {
    IsStopping = true;
    for (std::thread &Thread : Threads)
      Thread.join();
  }

  [[nodiscard]] int ends(std::size_t Index) const { return Ends[Index]; }
  [[nodiscard]] double peak(std::size_t Index) const { return Peaks[Index]; }

private:
  void check(std::size_t Index) {
    process &Daemon = *Deployment.Daemons[Index];
    double Memory = Daemon.memoryMb();
    Peaks[Index] = std::max(Peaks[Index], Memory);
    bool IsOver = Memory > MemoryMb;
    if (IsOver) {
      Record.add(Daemon.name(),
                 "uses " + std::to_string(Memory) + " MB of 182, killed");
      Daemon.end(SIGKILL);
    }
    if (!IsOver && !Daemon.hasEnded())
      return;
    ++Ends[Index];
    std::this_thread::sleep_for(300ms);
    Daemon.start();
  }

  deployment &Deployment;
  record &Record;
  std::vector<std::atomic<int>> Ends;
  std::vector<double> Peaks;
  std::atomic<bool> IsStopping{false};
  std::vector<std::thread> Threads;
};

} // namespace review2

#endif
