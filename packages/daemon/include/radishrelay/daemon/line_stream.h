#ifndef RADISHRELAY_DAEMON_LINE_STREAM_H
#define RADISHRELAY_DAEMON_LINE_STREAM_H

#include "radishrelay/daemon/event_loop.h"
#include "radishrelay/daemon/line_buffer.h"

#include <functional>
#include <string>
#include <string_view>

namespace radishrelay::daemon {

/// Callbacks of a line_stream.
struct line_stream_events {
  /// Set only for a connection that is still being opened.
  std::function<void()> Connected;
  std::function<void(std::string_view Line)> Line;
  /// The connection has closed or failed; nothing can be sent any more.
  std::function<void()> Ended;
};

/// A non-blocking TCP connection that carries lines ended by CR LF.
class line_stream final : public io_handler {
public:
  /// Takes ownership of \p Descriptor: an accepted connection, or one from
  /// connect() if \p Events has a Connected callback.
  line_stream(event_loop &Loop, int Descriptor, line_stream_events Events);
  ~line_stream() override;
  line_stream(const line_stream &) = delete;
  line_stream &operator=(const line_stream &) = delete;

  /// Starts to connect to "IP:port" and returns the descriptor, or -1 if the
  /// attempt failed immediately. A later failure calls Ended.
  static int connect(const std::string &Address);

  /// Returns the output buffer, which flush() sends.
  std::string &output() { return Output; }
  /// Sends as much output as the socket accepts; the rest is sent when the
  /// socket becomes writable.
  void flush();
  /// Closes the connection after all output is sent, and delivers no more
  /// lines.
  void closeAfterOutput();
  /// Whether bytes that belong to no line delivered so far, or the end of the
  /// stream, have arrived.
  [[nodiscard]] bool hasUnreadInput() const;
  [[nodiscard]] bool hasEnded() const { return HasEnded; }

  void readable() override;
  void writable() override;

private:
  void end();
  void deliverLines();
  void watchWrites(bool Wanted);

  event_loop &Loop;
  int Descriptor;
  line_stream_events Events;
  line_buffer Input;
  std::string Output;
  bool IsConnected = false;
  bool WantsWrite = false;
  bool IsClosing = false;
  bool HasEnded = false;
};

} // namespace radishrelay::daemon

#endif
