#ifndef RADISHRELAY_CLI_SRC_LOCAL_DEPLOYMENT_H
#define RADISHRELAY_CLI_SRC_LOCAL_DEPLOYMENT_H

#include "child_daemon.h"
#include "history_checker.h"
#include "load_fault.h"
#include "load_options.h"
#include "load_profile.h"

#include "radishrelay/backend/stand_in_group.h"
#include "radishrelay/tables/stand_in_platform.h"

#include <Poco/TemporaryFile.h>

#include <map>
#include <memory>

namespace radishrelay::cli {

/// A whole deployment on loopback: a stand-in platform and stand-in database
/// groups in this process, and daemons h1, h2, ... as child processes.
class local_deployment {
public:
  /// Starts everything. Throws std::runtime_error or Poco::Exception.
  local_deployment(const load_profile &Profile, const load_options &Options);

  /// Accounts with the keys that were created.
  [[nodiscard]] const std::vector<load_account> &accounts() const {
    return Accounts;
  }
  /// Addresses of the callers' listeners.
  [[nodiscard]] std::vector<std::string> targets() const;
  /// Address of an instance of a group.
  [[nodiscard]] std::string instance(std::size_t Group,
                                     std::size_t Number) const;

  /// Runs one step; fails when the step names something unknown or when the
  /// operators' API refuses it.
  base::failure apply(const load_fault &Fault);

  /// Rows of all groups by id, from the instance with the longest log of the
  /// highest term.
  [[nodiscard]] row_counts countRows() const;

private:
  struct host {
    std::string Name;
    std::string FailureDomain;
    std::uint16_t Callers = 0;
    std::uint16_t Operators = 0;
    std::uint16_t Peers = 0;
    std::unique_ptr<child_daemon> Process;
  };

  void startGroups(const load_profile &Profile, const load_options &Options);
  void seedConfiguration(const load_profile &Profile);
  void writeSettings(const host &Host) const;
  void startHost(host &Host);
  base::failure applyToInstance(const load_fault &Fault);
  base::failure applyToHost(const load_fault &Fault);
  base::failure withdrawKey(const std::string &Target);
  [[nodiscard]] std::string settingsFile(const host &Host) const;

  Poco::TemporaryFile Directory;
  std::string Program;
  std::string OperatorToken;
  tables::stand_in_platform Platform;
  std::vector<std::string> GroupNames;
  std::vector<std::unique_ptr<backend::stand_in_group>> Groups;
  std::vector<load_account> Accounts;
  std::vector<host> Hosts;
};

} // namespace radishrelay::cli

#endif
