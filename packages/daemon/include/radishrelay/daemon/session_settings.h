#ifndef RADISHRELAY_DAEMON_SESSION_SETTINGS_H
#define RADISHRELAY_DAEMON_SESSION_SETTINGS_H

#include "radishrelay/base/expected.h"

#include <cstdint>
#include <map>
#include <string>

namespace radishrelay::daemon {

/// Settings of radishrelayd --serve-sessions, read from its INI file.
struct session_settings {
  std::string HostId;
  std::string FailureDomain;
  /// Listening address for client sessions.
  std::string SessionsAddress;
  /// Listening address for the load balancer's readiness checks.
  std::string ReadinessAddress;
  std::string ReadinessPath = "/health/ready";
  /// Listening address for metrics and the state dump.
  std::string MetricsAddress;
  /// Local address for datagrams between hosts.
  std::string PeersAddress;
  std::string StoreAddress;
  std::string PromotionsAddress;
  /// Period in which a leaving instance may still be given work.
  std::int64_t LeavingMilliseconds = 7000;
  /// Period between the request to stop and the forced end of the process.
  std::int64_t GraceMilliseconds = 6000;
  /// Period from the request to evacuate a failure domain in which statements
  /// may still reach its instances.
  std::int64_t EvacuationMilliseconds = 5000;
  /// The statements that a cold instance gets in a second exceed the configured
  /// rate at most by this factor and this number.
  double ColdOverage = 1;
  double ColdSlack = 0;
  /// Region of each failure domain.
  std::map<std::string, std::string> Regions;
  std::string LogLevel = "info";

  friend bool operator==(const session_settings &,
                         const session_settings &) = default;
};

/// Reads and validates the settings file. Errors name the file, line and key.
base::expected<session_settings>
readSessionSettings(const std::string &FileName);

} // namespace radishrelay::daemon

#endif
