#ifndef RADISHRELAY_DAEMON_HTTP_MESSAGE_H
#define RADISHRELAY_DAEMON_HTTP_MESSAGE_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/daemon/problem.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace radishrelay::daemon {

/// Number of a caller's connection, never used twice in a process.
using caller_connection_id = std::uint64_t;

/// One header of a request or answer.
struct http_header {
  std::string Name;
  std::string Value;

  friend bool operator==(const http_header &, const http_header &) = default;
};

/// A whole request of a caller.
struct http_request {
  caller_connection_id Connection = 0;
  std::string Method;
  std::string Path;
  std::vector<http_header> Headers;
  std::string Body;

  /// Value of the header (names compare without case), or empty.
  [[nodiscard]] std::string header(const std::string &Name) const;
};

/// The answer to the request that a connection has open.
struct http_answer {
  caller_connection_id Connection = 0;
  int Status = 200;
  std::string ContentType = "application/json";
  std::vector<http_header> Headers;
  std::string Body;
  bool CloseConnection = false;
  /// The answer rests on evidence that ends then; the listener sends
  /// "outcome unknown" instead when it is too late.
  std::optional<base::time_point> ValidUntil;
};

/// Answer that carries a refusal.
http_answer problemAnswer(caller_connection_id Connection,
                          const problem &Problem);

} // namespace radishrelay::daemon

#endif
