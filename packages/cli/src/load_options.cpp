#include "load_options.h"

#include "load_account.h"
#include "load_fault.h"

#include "radishrelay/base/settings_table.h"

#include <algorithm>
#include <array>

namespace radishrelay::cli {

namespace {

namespace options = boost::program_options;
using texts = std::vector<std::string>;

constexpr const char *LoadSection = "load";

/// An option of the command line that has the same name in a plan.
struct option_row {
  const char *Name;
  const char *Help;
};

constexpr std::array OptionRows{
    option_row{"profile", "granite-ledger or amman: start a local deployment"},
    option_row{"targets", "callers' listeners, IP:PORT,..."},
    option_row{"groups", "groups whose load routes are called, G,..."},
    option_row{"daemon", "path of radishrelayd for a profile"},
    option_row{"json", "file for the report as JSON"},
    option_row{"plot", "file for an SVG of rates and write gaps"},
    option_row{"duration_ms", "length of the run (default 10000)"},
    option_row{"seed", "seed of the arrivals (default 1)"},
    option_row{"connections", "requests in flight at most (default 256)"},
    option_row{"hosts", "daemons of a profile (default 3)"},
    option_row{"read_percent", "share of reads (default 70)"},
    option_row{"keyed_percent",
               "share of writes with an idempotency key (default 50)"},
    option_row{"strict_percent",
               "share of reads that accept no age (default 10)"},
    option_row{"sessions", "sessions per account (default 16)"},
    option_row{"lag_ms", "replication lag of a profile (default 0)"},
    option_row{"timeout_ms", "deadline of a request (default 2000)"},
    option_row{"offered_percent", "scales all accounts (default 100)"},
    option_row{"direct", "1: also run against the backend servers"},
};

const base::settings_table<load_options> &planTable() {
  using base::integerSetting;
  using base::textSetting;
  using o = load_options;
  constexpr base::integer_range Percent{0, 100};
  static const base::settings_table<load_options> Table({
      base::choiceSetting(LoadSection, "profile", &o::Profile,
                          {"granite-ledger", "amman"}),
      textSetting(LoadSection, "targets", &o::Targets),
      textSetting(LoadSection, "groups", &o::Groups),
      textSetting(LoadSection, "daemon", &o::Daemon),
      textSetting(LoadSection, "json", &o::JsonFile),
      textSetting(LoadSection, "plot", &o::PlotFile),
      integerSetting(LoadSection, "duration_ms", &o::DurationMilliseconds,
                     {100, 3'600'000}),
      integerSetting(LoadSection, "seed", &o::Seed, {0, 1'000'000'000}),
      integerSetting(LoadSection, "connections", &o::Connections, {1, 512}),
      integerSetting(LoadSection, "hosts", &o::Hosts, {1, 24}),
      integerSetting(LoadSection, "read_percent", &o::ReadPercent, Percent),
      integerSetting(LoadSection, "keyed_percent", &o::KeyedPercent, Percent),
      integerSetting(LoadSection, "strict_percent", &o::StrictPercent, Percent),
      integerSetting(LoadSection, "sessions", &o::SessionsPerAccount,
                     {1, 10'000}),
      integerSetting(LoadSection, "lag_ms", &o::LagMilliseconds, {0, 60'000}),
      integerSetting(LoadSection, "timeout_ms", &o::TimeoutMilliseconds,
                     {1, 60'000}),
      integerSetting(LoadSection, "offered_percent", &o::OfferedPercent,
                     {1, 10'000}),
      integerSetting(LoadSection, "direct", &o::Direct, {0, 1}),
      base::mapSetting("accounts", "account.*", &o::Accounts),
      base::mapSetting("faults", "fault.*", &o::Faults),
  });
  return Table;
}

/// Names the line of an account or fault whose text is wrong.
base::failure atEntry(const base::ini_document &Plan,
                      const base::ini_entry &Entry, base::failure Failure) {
  Failure.Detail = "[" + Entry.Section + "] " + Entry.Key + "; " +
                   Failure.Peer + " " + Failure.Detail;
  Failure.Peer = Plan.FileName + ":" + std::to_string(Entry.Line);
  return Failure;
}

base::failure checkEntries(const base::ini_document &Plan) {
  constexpr std::string_view AccountPrefix = "account.";
  for (const base::ini_entry &Entry : Plan.Entries) {
    if (Entry.Section == "faults") {
      auto Fault = parseLoadFault(Entry.Value);
      if (!Fault)
        return atEntry(Plan, Entry, Fault.error());
    }
    if (Entry.Section == "accounts") {
      auto Account =
          parseLoadAccount(Entry.Key.substr(AccountPrefix.size()), Entry.Value);
      if (!Account)
        return atEntry(Plan, Entry, Account.error());
    }
  }
  return {};
}

base::failure usageFailure(const std::string &Detail) {
  return {std::make_error_code(std::errc::invalid_argument), "check options",
          "command line", Detail};
}

/// The command line as entries of a plan.
base::expected<base::ini_document>
commandEntries(const options::variables_map &Values) {
  base::ini_document Document{"command line", {}};
  int Number = 0;
  for (const option_row &Row : OptionRows)
    if (Values.count(Row.Name))
      Document.Entries.push_back({LoadSection, Row.Name,
                                  Values[Row.Name].as<std::string>(),
                                  ++Number});
  if (Values.count("account"))
    for (const std::string &Text : Values["account"].as<texts>()) {
      std::size_t Equals = Text.find('=');
      if (Equals == std::string::npos || Equals == 0)
        return usageFailure("--account: NAME=OFFERED,RATE,BURST[,KEY]");
      Document.Entries.push_back({"accounts",
                                  "account." + Text.substr(0, Equals),
                                  Text.substr(Equals + 1), ++Number});
    }
  if (Values.count("fault"))
    for (const std::string &Text : Values["fault"].as<texts>())
      Document.Entries.push_back(
          {"faults", "fault.command-line-" + std::to_string(++Number), Text,
           Number});
  return Document;
}

void appendMissing(base::ini_document &Document,
                   const base::ini_document &Plan) {
  std::size_t Own = Document.Entries.size();
  for (const base::ini_entry &Entry : Plan.Entries) {
    auto End = Document.Entries.begin() + static_cast<std::ptrdiff_t>(Own);
    bool Overridden = std::any_of(
        Document.Entries.begin(), End, [&](const base::ini_entry &Given) {
          return Given.Section == Entry.Section && Given.Key == Entry.Key;
        });
    if (!Overridden)
      Document.Entries.push_back(Entry);
  }
}

base::failure checkTogether(const load_options &Options) {
  if (Options.Profile.empty() == Options.Targets.empty())
    return usageFailure("give either profile or targets");
  if (Options.Profile.empty() &&
      (Options.Groups.empty() || Options.Accounts.empty()))
    return usageFailure("targets need groups and accounts");
  if (Options.Profile.empty() && (!Options.Faults.empty() || Options.Direct))
    return usageFailure("faults and direct need a profile");
  return {};
}

} // namespace

base::expected<load_options> parseLoadPlan(const base::ini_document &Plan) {
  auto Options = planTable().parse(Plan);
  if (!Options)
    return Options;
  if (base::failure Failure = checkEntries(Plan))
    return Failure;
  return Options;
}

options::options_description loadCommandOptions() {
  options::options_description Options("Options");
  auto Add = Options.add_options();
  Add("plan", options::value<std::string>(), "INI file with these options");
  for (const option_row &Row : OptionRows)
    Add(Row.Name, options::value<std::string>(), Row.Help);
  Add("account", options::value<texts>()->composing(),
      "NAME=OFFERED,RATE,BURST[,KEY], repeatable");
  Add("fault", options::value<texts>()->composing(),
      "step such as \"5s group=permits instance=0 kill\", repeatable");
  return Options;
}

base::expected<load_options>
readLoadOptions(const options::variables_map &Values) {
  auto Document = commandEntries(Values);
  if (!Document)
    return Document.error();
  auto Given = parseLoadPlan(*Document);
  if (!Given)
    return Given;
  if (Values.count("plan")) {
    auto Plan = base::readIniFile(Values["plan"].as<std::string>());
    if (!Plan)
      return Plan.error();
    auto Parsed = parseLoadPlan(*Plan);
    if (!Parsed)
      return Parsed;
    appendMissing(*Document, *Plan);
  }
  auto Options = parseLoadPlan(*Document);
  if (!Options)
    return Options;
  if (base::failure Failure = checkTogether(*Options))
    return Failure;
  return Options;
}

} // namespace radishrelay::cli
