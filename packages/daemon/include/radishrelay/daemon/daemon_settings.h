#ifndef RADISHRELAY_DAEMON_DAEMON_SETTINGS_H
#define RADISHRELAY_DAEMON_DAEMON_SETTINGS_H

#include "radishrelay/base/expected.h"
#include "radishrelay/base/ini_document.h"

#include <cstdint>
#include <map>
#include <string>

namespace radishrelay::daemon {

/// Settings of radishrelayd, read from its INI file.
struct daemon_settings {
  /// [host]
  std::string HostId;
  std::string FailureDomain;

  /// [callers]
  std::string CallersAddress = "127.0.0.1:8080";
  std::string CallersCertificate;
  std::string CallersPrivateKey;

  /// [operators]
  std::string OperatorsAddress = "127.0.0.1:8081";
  std::string OperatorsCertificate;
  std::string OperatorsPrivateKey;
  /// Maps an operator's name to the hexadecimal SHA-256 of the operator's
  /// token.
  std::map<std::string, std::string> OperatorTokenDigests;

  /// [peers]
  std::string PeersAddress = "127.0.0.1:8082";
  /// Comma-separated addresses of the hosts to contact when joining the fleet.
  std::string PeersJoin;
  /// Secret shared by all hosts to authenticate messages between them.
  std::string PeersSecret;

  /// [platform]
  std::string PlatformAddress;
  std::int64_t PlatformTimeoutMilliseconds = 1000;

  /// [log]
  std::string LogLevel = "info";

  /// [limits]
  std::int64_t MaxRequestsInFlight = 4096;

  /// [drain]
  std::int64_t BalancerWaitMilliseconds = 2000;
  std::int64_t DrainTimeoutMilliseconds = 30000;

  friend bool operator==(const daemon_settings &,
                         const daemon_settings &) = default;
};

/// Validates the document against the known settings. Errors name the file,
/// line, key and the allowed values.
base::expected<daemon_settings>
parseDaemonSettings(const base::ini_document &Document);

/// Reads and validates the settings file; fails as parseDaemonSettings does, or
/// if the file cannot be read.
base::expected<daemon_settings> readDaemonSettings(const std::string &FileName);

} // namespace radishrelay::daemon

#endif
