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

/// Identifies a caller's connection; never reused within a process.
using caller_connection_id = std::uint64_t;

/// One header of a request or answer.
struct http_header {
  std::string Name;
  std::string Value;

  friend bool operator==(const http_header &, const http_header &) = default;
};

/// A complete request of a caller.
struct http_request {
  caller_connection_id Connection = 0;
  std::string Method;
  std::string Path;
  std::vector<http_header> Headers;
  std::string Body;

  /// Returns the value of the header, or an empty string. Names are
  /// case-insensitive.
  [[nodiscard]] std::string header(const std::string &Name) const;
};

/// The answer to the running request of a connection.
struct http_answer {
  caller_connection_id Connection = 0;
  int Status = 200;
  std::string ContentType = "application/json";
  std::vector<http_header> Headers;
  std::string Body;
  bool CloseConnection = false;
  /// Expiry of the evidence that the answer is based on. From then on the
  /// listener sends "outcome unknown" instead.
  std::optional<base::time_point> ValidUntil;
};

/// Builds the answer that reports \p Problem.
http_answer problemAnswer(caller_connection_id Connection,
                          const problem &Problem);

} // namespace radishrelay::daemon

#endif
