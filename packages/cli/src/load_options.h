#ifndef RADISHRELAY_CLI_SRC_LOAD_OPTIONS_H
#define RADISHRELAY_CLI_SRC_LOAD_OPTIONS_H

#include "radishrelay/base/ini_document.h"

#include <boost/program_options.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace radishrelay::cli {

/// Options of "radishrelay load", from the command line or a plan file.
struct load_options {
  /// Name of a local deployment that the run starts; empty for running hosts.
  std::string Profile;
  /// "IP:PORT,..." of callers' listeners; required without a profile.
  std::string Targets;
  /// Groups whose load routes are called, "G,..."; set by a profile.
  std::string Groups;
  /// Path of radishrelayd; empty for the one beside this program.
  std::string Daemon;
  std::string JsonFile;
  std::string PlotFile;
  std::int64_t DurationMilliseconds = 10'000;
  std::int64_t Seed = 1;
  /// Large enough for what a silent backend server holds up to its deadline.
  std::int64_t Connections = 256;
  std::int64_t Hosts = 3;
  std::int64_t ReadPercent = 70;
  /// Share of the writes that carry an idempotency key.
  std::int64_t KeyedPercent = 50;
  /// Share of the reads that accept no stale data.
  std::int64_t StrictPercent = 10;
  std::int64_t SessionsPerAccount = 16;
  std::int64_t LagMilliseconds = 0;
  std::int64_t TimeoutMilliseconds = 2'000;
  /// Scales what all accounts offer.
  std::int64_t OfferedPercent = 100;
  /// 1: also sends the same requests straight to the backend servers.
  std::int64_t Direct = 0;
  /// Text by account name, see parseLoadAccount().
  std::map<std::string, std::string> Accounts;
  /// Text by name of the step, see parseLoadFault().
  std::map<std::string, std::string> Faults;

  friend bool operator==(const load_options &, const load_options &) = default;
};

/// Parses a plan. Failures name file, line and key.
base::expected<load_options> parseLoadPlan(const base::ini_document &Plan);

/// The options of the command line.
boost::program_options::options_description loadCommandOptions();

/// Reads the plan that the command line names, if any, and lets the command
/// line override it. Fails when the options do not fit together.
base::expected<load_options>
readLoadOptions(const boost::program_options::variables_map &Values);

} // namespace radishrelay::cli

#endif
