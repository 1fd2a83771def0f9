#ifndef RADISHRELAY_DAEMON_LINE_BUFFER_H
#define RADISHRELAY_DAEMON_LINE_BUFFER_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace radishrelay::daemon {

/// Splits the bytes of a stream into lines ended by CR LF. A CR or LF alone is
/// data of its line.
class line_buffer {
public:
  void append(std::string_view Bytes) { Input.append(Bytes); }
  /// Removes the next complete line and returns it without its end; valid until
  /// the next call of any function.
  std::optional<std::string_view> take();
  /// Releases the memory of the lines that were taken.
  void discardTaken();
  /// Number of bytes that belong to no line taken so far.
  [[nodiscard]] std::size_t pendingBytes() const {
    return Input.size() - Start;
  }

private:
  std::string Input;
  /// Start of the first line that was not taken.
  std::size_t Start = 0;
  /// Position up to which Input is known to hold no end of that line.
  std::size_t Searched = 0;
};

} // namespace radishrelay::daemon

#endif
