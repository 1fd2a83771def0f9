#ifndef RADISHRELAY_SESSIONS_DEPLOYMENT_H
#define RADISHRELAY_SESSIONS_DEPLOYMENT_H

#include "http_exchange.h"
#include "test_process.h"

#include <Poco/TemporaryFile.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace radishrelay::sessions {

/// A small deployment of real programs on loopback: one stand-in platform, one
/// database group "permits" with three instances, and three hosts h1, h2 and
/// h3 in the failure domains boston, hartford and portland.
///
/// The client accounts are "installers" and "inspectors"; operator "anna".
class deployment {
public:
  deployment();
  ~deployment();
  deployment(const deployment &) = delete;
  deployment &operator=(const deployment &) = delete;

  /// Address of a host's callers' listener.
  [[nodiscard]] std::string callers(const std::string &Host) const;
  [[nodiscard]] std::string operators(const std::string &Host) const;
  [[nodiscard]] const std::string &keyOf(const std::string &Account) const;
  [[nodiscard]] const std::string &operatorToken() const {
    return OperatorToken;
  }

  /// Starts a host, or starts it again after its end.
  void startHost(const std::string &Host);
  void signalHost(const std::string &Host, int Number);
  /// Waits for the end of the host's process.
  int waitHost(const std::string &Host);
  [[nodiscard]] std::string hostLog(const std::string &Host) const;

  void setPlatformFault(const std::string &Mode);
  void injectFault(std::size_t Instance, const std::string &Fault,
                   std::uint64_t Milliseconds);
  /// All bytes that the instances received.
  [[nodiscard]] std::string receivedByDatabase() const;
  /// Report of the stand-in database group.
  [[nodiscard]] base::json report() const;

private:
  struct host_ports {
    std::uint16_t Callers = 0;
    std::uint16_t Operators = 0;
    std::uint16_t Peers = 0;
  };

  void awaitTokens(const std::string &Host, const std::string &Key);
  void startStandIns();
  void makeSecrets();
  void seedConfiguration();
  void writeSettings(const std::string &Host);
  [[nodiscard]] base::json configuration() const;
  [[nodiscard]] std::string path(const std::string &Name) const;

  Poco::TemporaryFile Directory;
  std::unique_ptr<test_process> Platform;
  std::unique_ptr<test_process> Database;
  std::string PlatformAddress;
  std::string ControlAddress;
  std::vector<std::string> Instances;
  std::map<std::string, std::string> Keys;
  base::json Accounts;
  std::string OperatorToken;
  std::string OperatorDigest;
  std::map<std::string, host_ports> Ports;
  std::map<std::string, std::unique_ptr<test_process>> Hosts;
  std::map<std::string, std::string> EndedLogs;
};

} // namespace radishrelay::sessions

#endif
