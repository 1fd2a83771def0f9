#include "admission_queue.h"

#include <algorithm>

namespace radishrelay::backend::detail {

bool admission_queue::enter(session_id Id) {
  if (Admitted.contains(Id))
    return true;
  if (Admitted.size() < Capacity) {
    Admitted.insert(Id);
    return true;
  }
  if (std::find(Waiting.begin(), Waiting.end(), Id) == Waiting.end())
    Waiting.push_back(Id);
  return false;
}

std::optional<session_id> admission_queue::leave(session_id Id) {
  std::erase(Waiting, Id);
  if (Admitted.erase(Id) == 0 || Waiting.empty())
    return std::nullopt;
  session_id Next = Waiting.front();
  Waiting.pop_front();
  Admitted.insert(Next);
  return Next;
}

} // namespace radishrelay::backend::detail
