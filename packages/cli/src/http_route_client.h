#ifndef RADISHRELAY_CLI_SRC_HTTP_ROUTE_CLIENT_H
#define RADISHRELAY_CLI_SRC_HTTP_ROUTE_CLIENT_H

#include "route_client.h"

#include <Poco/Net/HTTPClientSession.h>

#include <memory>
#include <vector>

namespace radishrelay::cli {

/// Where an http_route_client sends its requests.
struct http_route_options {
  /// Addresses of the callers' listeners.
  std::vector<std::string> Targets;
  std::vector<std::string> Groups;
  std::int64_t TimeoutMilliseconds = 0;

  friend bool operator==(const http_route_options &,
                         const http_route_options &) = default;
};

/// Calls the routes of daemons, with one kept-alive connection per daemon.
class http_route_client final : public route_client {
public:
  explicit http_route_client(const http_route_options &Options);

  route_answer call(const route_call &Call) override;

private:
  std::string sendRequest(Poco::Net::HTTPClientSession &Session,
                          const route_call &Call, route_answer &Answer) const;

  http_route_options Options;
  std::vector<std::unique_ptr<Poco::Net::HTTPClientSession>> Sessions;
};

} // namespace radishrelay::cli

#endif
