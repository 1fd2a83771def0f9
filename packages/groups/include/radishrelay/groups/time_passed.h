#ifndef RADISHRELAY_GROUPS_TIME_PASSED_H
#define RADISHRELAY_GROUPS_TIME_PASSED_H

namespace radishrelay::groups {

/// Event: the time of a wake-up has come; carries nothing else.
struct time_passed {
  friend bool operator==(const time_passed &, const time_passed &) = default;
};

} // namespace radishrelay::groups

#endif
