#include "radishrelay/base/monotonic_clock.h"

#include <ctime>

namespace radishrelay::base {

monotonic_clock::time_point monotonic_clock::now() noexcept {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  auto SinceBoot =
      std::chrono::seconds(Now.tv_sec) + std::chrono::nanoseconds(Now.tv_nsec);
  return time_point(std::chrono::duration_cast<duration>(SinceBoot));
}

} // namespace radishrelay::base
