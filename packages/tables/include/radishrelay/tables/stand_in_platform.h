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

/// Server that implements the platform's HTTP API in memory, with injected
/// faults, for tests, demonstrations and measurements.
///
/// Besides the platform's own paths it answers POST /hosts, POST
/// /stand-in/faults and GET /stand-in/counters; faults do not affect these.
class stand_in_platform {
public:
  /// Listens on 127.0.0.1 and \p Port; 0 lets the kernel choose the port.
  /// Throws Poco::Net::NetException when the port is in use.
  explicit stand_in_platform(std::uint16_t Port = 0);
  /// Stops the server; waiting requests end without an answer.
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
