#ifndef RADISHRELAY_TABLES_STAND_IN_PLATFORM_H
#define RADISHRELAY_TABLES_STAND_IN_PLATFORM_H

#include "radishrelay/base/listed_host.h"
#include "radishrelay/tables/stand_in_counters.h"
#include "radishrelay/tables/stand_in_fault.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace radishrelay::tables {

namespace detail {
class stand_in_state;
class stand_in_server;
} // namespace detail

/// In-memory implementation of the platform's HTTP API that can inject faults,
/// for tests, demonstrations and benchmarks.
///
/// In addition to the paths of the platform it serves POST /hosts, POST
/// /stand-in/faults and GET /stand-in/counters, which injected faults do not
/// affect.
class stand_in_platform {
public:
  /// Listens on 127.0.0.1 and \p Port; if \p Port is 0, the kernel chooses the
  /// port. Throws Poco::Net::NetException if the port is in use.
  explicit stand_in_platform(std::uint16_t Port = 0);
  /// Stops the server. Blocked requests end without a response.
  ~stand_in_platform();
  stand_in_platform(const stand_in_platform &) = delete;
  stand_in_platform &operator=(const stand_in_platform &) = delete;

  /// Address of the listener, "127.0.0.1:port".
  [[nodiscard]] std::string address() const;
  [[nodiscard]] stand_in_counters counters() const;

  void setFault(const stand_in_fault &Fault);
  void setHosts(std::vector<base::listed_host> Hosts);

private:
  std::unique_ptr<detail::stand_in_state> State;
  std::unique_ptr<detail::stand_in_server> Server;
};

} // namespace radishrelay::tables

#endif
