#ifndef RADISHRELAY_BACKEND_SRC_ADMISSION_QUEUE_H
#define RADISHRELAY_BACKEND_SRC_ADMISSION_QUEUE_H

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_set>

namespace radishrelay::backend::detail {

/// Number of a connection to an instance of the stand-in.
using session_id = std::uint64_t;

/// Admits a limited number of sessions at once, in order of arrival.
class admission_queue {
public:
  explicit admission_queue(std::size_t Capacity) : Capacity(Capacity) {}

  /// Returns true when the session is admitted; else it waits in line.
  bool enter(session_id Id);
  /// Ends the session's stay or wait. Returns the session admitted instead.
  std::optional<session_id> leave(session_id Id);
  [[nodiscard]] bool holds(session_id Id) const {
    return Admitted.contains(Id);
  }

private:
  std::size_t Capacity;
  std::unordered_set<session_id> Admitted;
  std::deque<session_id> Waiting;
};

} // namespace radishrelay::backend::detail

#endif
