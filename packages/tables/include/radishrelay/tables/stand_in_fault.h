#ifndef RADISHRELAY_TABLES_STAND_IN_FAULT_H
#define RADISHRELAY_TABLES_STAND_IN_FAULT_H

#include <chrono>

namespace radishrelay::tables {

/// A fault that a stand-in platform injects into each request.
enum class stand_in_fault_mode {
  None,
  /// Closes the connection without a response, before the request is executed.
  Down,
  /// Delays each request before it is executed.
  Slow,
  /// Closes the connection without a response, after the request is executed.
  LoseAnswers,
  /// Blocks each request, before it is executed, until the mode changes.
  Pause,
};

/// A fault mode with its parameter.
struct stand_in_fault {
  stand_in_fault_mode Mode = stand_in_fault_mode::None;
  /// Delay of each request in the mode Slow.
  std::chrono::milliseconds Delay{0};

  friend bool operator==(const stand_in_fault &,
                         const stand_in_fault &) = default;
};

} // namespace radishrelay::tables

#endif
