#include "radishrelay/daemon/line_buffer.h"

#include <algorithm>

namespace radishrelay::daemon {

namespace {

constexpr std::string_view LineEnd = "\r\n";

} // namespace

std::optional<std::string_view> line_buffer::take() {
  std::size_t End = Input.find(LineEnd, Searched);
  if (End == std::string::npos) {
    // The last byte may be the CR of an end whose LF has not arrived.
    Searched = std::max(Start, Input.empty() ? 0 : Input.size() - 1);
    return std::nullopt;
  }
  std::string_view Line(Input.data() + Start, End - Start);
  Start = End + LineEnd.size();
  Searched = Start;
  return Line;
}

void line_buffer::discardTaken() {
  Input.erase(0, Start);
  Searched -= Start;
  Start = 0;
}

} // namespace radishrelay::daemon
