#ifndef RADISHRELAY_DAEMON_LISTENING_SOCKET_H
#define RADISHRELAY_DAEMON_LISTENING_SOCKET_H

#include <string>

namespace radishrelay::daemon {

/// A non-blocking TCP socket that listens on "IP:port".
class listening_socket {
public:
  /// Throws Poco::Net::NetException if \p Address cannot be bound.
  explicit listening_socket(const std::string &Address);
  ~listening_socket();
  listening_socket(const listening_socket &) = delete;
  listening_socket &operator=(const listening_socket &) = delete;

  [[nodiscard]] int descriptor() const { return Descriptor; }
  /// Accepts one connection; returns -1 if none is pending. If the process has
  /// no descriptor left, pending connections are closed: they would keep the
  /// socket readable, and the event loop busy.
  int accept();

private:
  /// Closes one pending connection; returns false if that is not possible.
  bool closePending();

  int Descriptor;
  /// Kept for closePending().
  int Spare;
  bool IsExhausted = false;
};

} // namespace radishrelay::daemon

#endif
