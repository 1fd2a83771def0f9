#ifndef RADISHRELAY_DAEMON_DAEMON_SETTINGS_H
#define RADISHRELAY_DAEMON_DAEMON_SETTINGS_H

#include "radishrelay/base/expected.h"
#include "radishrelay/base/ini_document.h"

#include <cstdint>
#include <map>
#include <string>

namespace radishrelay::daemon {

/// Settings of radishrelayd as read from its INI file.
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
  /// Hexadecimal SHA-256 of each operator's token, by the operator's name.
  std::map<std::string, std::string> OperatorTokenDigests;

  /// [peers]
  std::string PeersAddress = "127.0.0.1:8082";
  /// Addresses of other hosts to contact first, separated by commas.
  std::string PeersJoin;
  /// Shared by all hosts; authenticates the messages between them.
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

/// Checks the document against the allowed settings. Errors name the file,
/// line, key and what is allowed.
base::expected<daemon_settings>
parseDaemonSettings(const base::ini_document &Document);

/// Reads and checks the file.
base::expected<daemon_settings> readDaemonSettings(const std::string &FileName);

} // namespace radishrelay::daemon

#endif
