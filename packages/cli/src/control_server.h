#ifndef RADISHRELAY_CLI_SRC_CONTROL_SERVER_H
#define RADISHRELAY_CLI_SRC_CONTROL_SERVER_H

#include "radishrelay/backend/stand_in_group.h"

#include <cstdint>
#include <memory>

namespace radishrelay::cli {

/// HTTP control of a stand-in database group on 127.0.0.1:
/// POST /stand-in/faults injects a fault, GET /stand-in/report shows the
/// instances, GET /stand-in/recorded returns the bytes that they received.
class control_server {
public:
  /// Port 0 lets the kernel choose.
  control_server(backend::stand_in_group &Group, std::uint16_t Port);
  ~control_server();
  control_server(const control_server &) = delete;
  control_server &operator=(const control_server &) = delete;

  [[nodiscard]] std::uint16_t port() const;

private:
  struct implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace radishrelay::cli

#endif
