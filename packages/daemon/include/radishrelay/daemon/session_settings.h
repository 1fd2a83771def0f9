#ifndef RADISHRELAY_DAEMON_SESSION_SETTINGS_H
#define RADISHRELAY_DAEMON_SESSION_SETTINGS_H

#include "radishrelay/base/expected.h"

#include <cstdint>
#include <string>

namespace radishrelay::daemon {

/// Settings of a daemon that serves sessions.
struct session_settings {
  std::string HostId;
  std::string FailureDomain;
  /// Where clients open sessions.
  std::string SessionsAddress;
  /// Where the balancer asks whether the host is ready.
  std::string ReadinessAddress;
  std::string ReadinessPath = "/health/ready";
  /// Where metrics and the state dump are served.
  std::string MetricsAddress;
  /// Where other hosts send datagrams.
  std::string PeersAddress;
  std::string StoreAddress;
  std::string PromotionsAddress;
  /// Time in which a leaving instance may still get work.
  std::int64_t LeavingMilliseconds = 7000;
  /// Time between the order to stop and the kill.
  std::int64_t GraceMilliseconds = 6000;
  std::string LogLevel = "info";

  friend bool operator==(const session_settings &,
                         const session_settings &) = default;
};

/// Reads and checks the settings file; a failure names file, line and key.
base::expected<session_settings>
readSessionSettings(const std::string &FileName);

} // namespace radishrelay::daemon

#endif
