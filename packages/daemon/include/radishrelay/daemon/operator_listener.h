#ifndef RADISHRELAY_DAEMON_OPERATOR_LISTENER_H
#define RADISHRELAY_DAEMON_OPERATOR_LISTENER_H

#include "radishrelay/daemon/operator_message.h"

#include <Poco/Net/ServerSocket.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace radishrelay::daemon {

/// Executes an operator's request and waits for the reply; returns nothing if
/// the host is too busy. Called on several threads.
using operator_handler =
    std::function<std::optional<operator_reply>(const operator_request &)>;

/// Serves the operators' HTTP API. Health checks and metrics need no token; all
/// other endpoints require "Authorization: Bearer TOKEN" with the token of an
/// operator from the settings.
class operator_listener {
public:
  /// \p TokenDigests maps an operator's name to the hexadecimal SHA-256 of the
  /// operator's token.
  operator_listener(const Poco::Net::ServerSocket &Socket,
                    std::map<std::string, std::string> TokenDigests,
                    operator_handler Handler);
  ~operator_listener();
  operator_listener(const operator_listener &) = delete;
  operator_listener &operator=(const operator_listener &) = delete;

  void stop();

  [[nodiscard]] std::uint16_t port() const;

private:
  struct implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace radishrelay::daemon

#endif
