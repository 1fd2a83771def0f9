#include "load_command.h"

#include "direct_route_client.h"
#include "http_route_client.h"
#include "load_fault.h"
#include "load_options.h"
#include "load_plot.h"
#include "load_report.h"
#include "load_runner.h"
#include "local_deployment.h"

#include "radishrelay/cli/command_options.h"

#include <Poco/Exception.h>
#include <Poco/StringTokenizer.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <stdexcept>

namespace radishrelay::cli {

namespace {

constexpr double Percent = 100;

std::vector<std::string> splitList(const std::string &Text) {
  Poco::StringTokenizer Parts(Text, ",",
                              Poco::StringTokenizer::TOK_TRIM |
                                  Poco::StringTokenizer::TOK_IGNORE_EMPTY);
  return {Parts.begin(), Parts.end()};
}

/// A run of the load from the options to the report.
class load_run {
public:
  load_run(load_options Options, const command_streams &Streams)
      : Options(std::move(Options)), Streams(Streams),
        Length(std::chrono::milliseconds(this->Options.DurationMilliseconds)) {}

  load_report run() {
    prepare();
    load_report Report;
    if (Options.Direct)
      Report.Direct = runDirect();
    http_route_options Http{Targets, Groups, Options.TimeoutMilliseconds};
    load_runner Runner(runnerOptions(), [Http] {
      return std::make_unique<http_route_client>(Http);
    });
    Runner.start();
    watch(Runner);
    load_history History{Accounts, Runner.finish(), std::nullopt};
    if (Deployment)
      History.Rows = Deployment->countRows();
    Report.Groups = Groups;
    Report.Length = Length;
    Report.Measures = measureLoad(History, Groups.size(), Length);
    Report.Broken = checkHistory(History);
    Report.RowsChecked = History.Rows.has_value();
    Report.FailedSteps = FailedSteps;
    if (!Options.PlotFile.empty())
      std::ofstream(Options.PlotFile) << plotLoad(History, Groups, Length);
    return Report;
  }

private:
  void prepare() {
    load_profile Profile;
    if (const load_profile *Found = findLoadProfile(Options.Profile))
      Profile = *Found;
    for (const auto &[Name, Text] : Options.Accounts)
      setAccount(Profile.Accounts, *parseLoadAccount(Name, Text));
    for (const auto &[Name, Text] : Options.Faults)
      Faults.push_back(*parseLoadFault(Text));
    std::stable_sort(Faults.begin(), Faults.end(),
                     [](const load_fault &Left, const load_fault &Right) {
                       return Left.At < Right.At;
                     });
    Accounts = Profile.Accounts;
    Groups = splitList(Options.Groups);
    Targets = splitList(Options.Targets);
    if (Options.Profile.empty())
      return;
    Deployment = std::make_unique<local_deployment>(Profile, Options);
    Accounts = Deployment->accounts();
    Groups = Profile.Groups;
    Targets = Deployment->targets();
  }

  static void setAccount(std::vector<load_account> &Accounts,
                         const load_account &Account) {
    for (load_account &Known : Accounts)
      if (Known.Name == Account.Name) {
        Known = Account;
        return;
      }
    Accounts.push_back(Account);
  }

  [[nodiscard]] runner_options runnerOptions() const {
    runner_options Settings;
    arrival_options &Arrivals = Settings.Arrivals;
    Arrivals.Seed = static_cast<std::uint64_t>(Options.Seed);
    Arrivals.Length = Length;
    for (const load_account &Account : Accounts)
      Arrivals.RatePerSecond.push_back(
          static_cast<double>(Account.OfferedPerSecond) *
          static_cast<double>(Options.OfferedPercent) / Percent);
    Arrivals.SessionsPerAccount =
        static_cast<std::size_t>(Options.SessionsPerAccount);
    Arrivals.Groups = Groups.size();
    Arrivals.Hosts = Targets.size();
    Arrivals.Reads = static_cast<double>(Options.ReadPercent) / Percent;
    Arrivals.StrictAmongReads =
        static_cast<double>(Options.StrictPercent) / Percent;
    Arrivals.KeyedAmongWrites =
        static_cast<double>(Options.KeyedPercent) / Percent;
    Settings.Accounts = Accounts;
    Settings.Workers = static_cast<std::size_t>(Options.Connections);
    Settings.IdPrefix = "proxy-" + std::to_string(Options.Seed) + "-";
    return Settings;
  }

  /// Sends the same arrivals straight to the backend servers.
  load_measures runDirect() {
    // The daemons hold their quota of the connections meanwhile.
    constexpr std::size_t MostWorkers = 12;
    std::vector<direct_group> Direct;
    for (std::size_t Group = 0; Group < Groups.size(); ++Group)
      Direct.push_back(
          {Deployment->instance(Group, 0), Deployment->instance(Group, 1)});
    runner_options Settings = runnerOptions();
    Settings.Workers = std::min(Settings.Workers, MostWorkers);
    Settings.IdPrefix = "direct-" + std::to_string(Options.Seed) + "-";
    load_runner Runner(Settings, [Direct] {
      return std::make_unique<direct_route_client>(Direct);
    });
    Runner.start();
    load_history History{Accounts, Runner.finish(), std::nullopt};
    return measureLoad(History, Groups.size(), Length);
  }

  /// Runs the fault steps and prints the progress until the end of the run.
  void watch(const load_runner &Runner) {
    constexpr base::duration ProgressInterval = std::chrono::seconds(5);
    auto Next = Faults.begin();
    base::duration NextProgress = ProgressInterval;
    while (true) {
      base::duration Wake = std::min(Length, NextProgress);
      if (Next != Faults.end())
        Wake = std::min(Wake, Next->At);
      std::this_thread::sleep_for(Runner.startedAt() + Wake -
                                  base::monotonic_clock::now());
      if (Next != Faults.end() && Next->At <= Wake)
        applyFault(*Next++);
      else if (Wake >= Length)
        return;
      else
        NextProgress += ProgressInterval;
      printProgress(Wake, Runner);
    }
  }

  void printProgress(base::duration At, const load_runner &Runner) const {
    Streams.Error
        << std::chrono::duration_cast<std::chrono::seconds>(At).count()
        << " s: " << Runner.answered() << " answered, " << Runner.failed()
        << " of them not successful\n";
  }

  void applyFault(const load_fault &Fault) {
    base::failure Failure = Deployment->apply(Fault);
    Streams.Error << "fault step: " << Fault.Target << " " << Fault.Action
                  << "\n";
    if (Failure)
      FailedSteps.push_back(base::toString(Failure));
  }

  load_options Options;
  command_streams Streams;
  base::duration Length;
  std::vector<load_account> Accounts;
  std::vector<std::string> Groups;
  std::vector<std::string> Targets;
  std::vector<load_fault> Faults;
  std::vector<std::string> FailedSteps;
  std::unique_ptr<local_deployment> Deployment;
};

exit_code writeReport(const load_report &Report, const load_options &Options,
                      const command_streams &Streams) {
  printLoadReport(Report, Streams.Out);
  if (!Options.JsonFile.empty()) {
    std::ofstream File(Options.JsonFile);
    File << toJson(Report).dump(2) << "\n";
    if (!File) {
      Streams.Error << "radishrelay: cannot write " << Options.JsonFile << "\n";
      return exit_code::Failed;
    }
  }
  return Report.Broken.empty() ? exit_code::Success : exit_code::Failed;
}

} // namespace

exit_code runLoad(const std::vector<std::string> &Arguments,
                  const command_streams &Streams) {
  exit_code Code = exit_code::Success;
  auto Values = parseOptions(loadCommandOptions(), Arguments, Streams, Code);
  if (!Values)
    return Code;
  auto Options = readLoadOptions(*Values);
  if (!Options) {
    Streams.Error << "radishrelay: " << Options.error() << "\n";
    return exit_code::Usage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return writeReport(load_run(*Options, Streams).run(), *Options, Streams);
  } catch (const Poco::Exception &Error) {
    Streams.Error << "radishrelay: load: " << Error.displayText() << "\n";
  } catch (const std::runtime_error &Error) {
    Streams.Error << "radishrelay: load: " << Error.what() << "\n";
  }
  return exit_code::Failed;
}

} // namespace radishrelay::cli
