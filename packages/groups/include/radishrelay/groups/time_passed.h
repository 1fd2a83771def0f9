#ifndef RADISHRELAY_GROUPS_TIME_PASSED_H
#define RADISHRELAY_GROUPS_TIME_PASSED_H

namespace radishrelay::groups {

/// Event: the time that nextWake returned has been reached.
struct time_passed {
  friend bool operator==(const time_passed &, const time_passed &) = default;
};

} // namespace radishrelay::groups

#endif
