#ifndef RADISHRELAY_TABLES_HTTP_CONNECTION_H
#define RADISHRELAY_TABLES_HTTP_CONNECTION_H

#include "radishrelay/base/expected.h"
#include "radishrelay/base/monotonic_clock.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace radishrelay::tables {

namespace detail {
class http_session;
} // namespace detail

/// An HTTP request.
struct http_request {
  std::string Method;
  std::string Path;
  std::string Body;
  /// Name of the operation in failures, for example "read table row".
  std::string Step;
  /// Additional header fields.
  std::vector<std::pair<std::string, std::string>> Headers{};
  /// Whether the request must not arrive after the deadline of the exchange. It
  /// is sent over a connection of its own, and bytes that have not arrived are
  /// discarded if the exchange fails or the process ends or is suspended.
  bool ExpiresAtDeadline = false;
};

/// An HTTP response.
struct http_response {
  int Status = 0;
  std::string Body;
  /// Header fields in the order in which they were received.
  std::vector<std::pair<std::string, std::string>> Headers{};

  /// Returns the value of the first header field \p Name, compared without
  /// regard to case; empty if there is none.
  [[nodiscard]] std::string header(std::string_view Name) const;
};

/// The failure of a request that got no complete response.
struct http_failure {
  /// False if certainly no byte of the request was sent.
  bool Sent = true;
  base::failure Cause;
};

/// A client connection to an HTTP server that is kept open between requests
/// and re-established when necessary. Used by one thread at a time.
class http_connection {
public:
  explicit http_connection(std::string Address);
  ~http_connection();

  /// Sends \p Request and waits for the response until \p Deadline. After a
  /// failure the connection is reset, which discards bytes that the server
  /// has not received; the next exchange opens a new one.
  base::expected<http_response, http_failure>
  exchange(const http_request &Request, base::time_point Deadline);

  [[nodiscard]] const std::string &address() const { return Address; }

private:
  void connect(base::time_point Deadline);
  http_response sendAndReceive(const http_request &Request,
                               base::time_point Deadline);
  /// Makes the kernel discard bytes of \p Request that have not arrived when
  /// the connection is closed early.
  void limitDelivery(const http_request &Request, base::time_point Deadline);
  /// Ends the connection and returns the failure.
  http_failure fail(const http_request &Request, bool Sent, std::errc Code,
                    const std::string &Detail);

  std::string Address;
  std::unique_ptr<detail::http_session> Session;
};

} // namespace radishrelay::tables

#endif
