#ifndef RADISHRELAY_BACKEND_SRC_LISTENING_PORT_H
#define RADISHRELAY_BACKEND_SRC_LISTENING_PORT_H

#include <Poco/Net/ServerSocket.h>

#include <cstdint>
#include <optional>
#include <string>

namespace radishrelay::backend::detail {

/// A port on 127.0.0.1 that can be closed to connections and opened again.
///
/// A second socket that is bound and never listens keeps the port, so that the
/// kernel gives it to nobody else while it is closed and refuses connections.
class listening_port {
public:
  /// Listens. \p Port 0 lets the kernel choose. Throws Poco::Exception.
  explicit listening_port(std::uint16_t Port);

  /// "127.0.0.1:PORT".
  [[nodiscard]] std::string address() const;
  [[nodiscard]] int fd() const { return Listener->impl()->sockfd(); }
  void open();
  void close() { Listener.reset(); }
  /// Returns the descriptor of a new non-blocking connection, or -1.
  [[nodiscard]] int accept() const;

private:
  Poco::Net::ServerSocket Reservation;
  std::optional<Poco::Net::ServerSocket> Listener;
};

} // namespace radishrelay::backend::detail

#endif
