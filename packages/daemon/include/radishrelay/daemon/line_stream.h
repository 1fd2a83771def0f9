#ifndef RADISHRELAY_DAEMON_LINE_STREAM_H
#define RADISHRELAY_DAEMON_LINE_STREAM_H

#include "radishrelay/daemon/event_loop.h"

#include <functional>
#include <string>
#include <string_view>

namespace radishrelay::daemon {

/// What a line_stream reports.
struct line_stream_events {
  std::function<void()> Connected;
  std::function<void(std::string_view Line)> Line;
  /// The stream has ended; it may not be used any more.
  std::function<void()> Ended;
};

/// A TCP connection that carries lines ended by LF or CR LF.
class line_stream final : public io_handler {
public:
  /// Takes a connection that was accepted.
  line_stream(event_loop &Loop, int Descriptor, line_stream_events Events);
  ~line_stream() override;
  line_stream(const line_stream &) = delete;
  line_stream &operator=(const line_stream &) = delete;

  /// Starts to connect to "IP:port"; a failure is reported as Ended.
  static int connect(const std::string &Address);

  /// Appends to what is sent by flush().
  std::string &output() { return Output; }
  /// Sends what the peer takes now; the rest follows when it takes more.
  void flush();
  /// Ends the stream once all output was sent.
  void closeAfterOutput();
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
  std::string Input;
  std::string Output;
  bool IsConnected = false;
  bool WantsWrite = false;
  bool IsClosing = false;
  bool HasEnded = false;
};

/// Opens a listening socket on "IP:port". Throws Poco::Net::NetException.
int listenOn(const std::string &Address);
/// Accepts one connection; -1 when none waits.
int acceptFrom(int Listener);

} // namespace radishrelay::daemon

#endif
