#ifndef RADISHRELAY_CLI_SRC_ROUTE_CLIENT_H
#define RADISHRELAY_CLI_SRC_ROUTE_CLIENT_H

#include "route_answer.h"
#include "route_call.h"

namespace radishrelay::cli {

/// Sends the requests of one worker.
class route_client {
public:
  route_client() = default;
  virtual ~route_client() = default;
  route_client(const route_client &) = delete;
  route_client &operator=(const route_client &) = delete;

  /// Sends the request and waits for its answer or a failure.
  virtual route_answer call(const route_call &Call) = 0;
};

} // namespace radishrelay::cli

#endif
