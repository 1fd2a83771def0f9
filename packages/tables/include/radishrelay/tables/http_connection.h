#ifndef RADISHRELAY_TABLES_HTTP_CONNECTION_H
#define RADISHRELAY_TABLES_HTTP_CONNECTION_H

#include "radishrelay/base/expected.h"
#include "radishrelay/base/monotonic_clock.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace radishrelay::tables {

namespace detail {
class http_session;
} // namespace detail

/// A request of HTTP with its step for error messages.
struct http_request {
  std::string Method;
  std::string Path;
  std::string Body;
  std::string Step;
  /// Further header fields.
  std::vector<std::pair<std::string, std::string>> Headers{};
};

/// An answer of HTTP.
struct http_response {
  int Status = 0;
  std::string Body;
};

/// A request without an answer.
struct http_failure {
  /// False when certainly no byte of the request was sent.
  bool Sent = true;
  base::failure Cause;
};

/// One kept-alive connection to a server.
class http_connection {
public:
  explicit http_connection(std::string Address);
  ~http_connection();

  /// Sends \p Request and waits for its answer until \p Deadline.
  base::expected<http_response, http_failure>
  exchange(const http_request &Request, base::time_point Deadline);

  [[nodiscard]] const std::string &address() const { return Address; }

private:
  void connect(base::time_point Deadline);
  http_response sendAndReceive(const http_request &Request,
                               base::time_point Deadline);
  http_failure fail(const http_request &Request, bool Sent, std::errc Code,
                    const std::string &Detail);

  std::string Address;
  std::unique_ptr<detail::http_session> Session;
};

} // namespace radishrelay::tables

#endif
