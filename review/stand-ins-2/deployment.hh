/// \file
/// A small deployment: the platform, databases with an instance in each zone,
/// and daemons on loopback addresses.
#ifndef REVIEW_STAND_INS_2_DEPLOYMENT_HH
#define REVIEW_STAND_INS_2_DEPLOYMENT_HH

#include "client.hh"
#include "database.hh"

#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace review2 {

inline const std::vector<std::string> Zones = {"ne-boston", "ne-hartford",
                                               "ne-portland"};

/// Exit status of a script.
enum class verdict { Held = 0, Broken = 1, NotRun = 2 };

/// Whether the script is to bring its disruption about.
inline bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

class deployment {
public:
  struct options {
    int Daemons = 1;
    int Services = 1;
    database::options Database;
    int FileDescriptors = 0;
    /// Addresses at which each daemon finds the instances, if these are not
    /// those of this deployment; see replicated_database.
    std::vector<std::string> Views;
  };

  deployment(const std::string &Root, const options &Options, record &Record)
      : Folder(makeFolder()), Platform(Ip, Record) {
    Platform.OnPromotion = [this](const std::string &Service,
                                  const std::string &Id) {
      return Databases.contains(Service) && Databases[Service]->promote(Id);
    };
    for (int Index = 0; Index < Options.Services; ++Index) {
      database::options Of = Options.Database;
      Of.Service = "records" + std::to_string(Index + 1);
      Of.Zones = Zones;
      Services.push_back(Of.Service);
      if (Options.Views.empty())
        Databases[Of.Service] =
            std::make_unique<database>(Ip, Of, Platform, Record);
    }
    for (int Index = 0; Index < Options.Daemons; ++Index) {
      process::options Of;
      Of.Root = Root;
      Of.Folder = Folder;
      Of.Name = "front-" + std::to_string(Index + 1);
      Of.Zone = Zones[static_cast<std::size_t>(Index) % Zones.size()];
      Of.Ip = "127.0.0." + std::to_string(11 + Index);
      Of.PlatformIp = Ip;
      auto View = static_cast<std::size_t>(Index);
      Of.PlatformPort = Options.Views.empty()
                            ? Platform.port()
                            : Platform.addView(Ip, Options.Views[View]);
      Of.FileDescriptors = Options.FileDescriptors;
      Daemons.push_back(std::make_unique<process>(Of, Record));
    }
  }
  /// Ends the processes. The deployment itself stays until the end of the
  /// script, since the threads of its stand-ins use it.
  void stop() {
    Daemons.clear();
    std::filesystem::remove_all(Folder);
  }
  deployment(const deployment &) = delete;
  deployment &operator=(const deployment &) = delete;

  /// A configuration with the three kinds of routes for each service:
  /// "filing1", "lookup1" and "queue1", and so on.
  [[nodiscard]] json configuration(int Version, const json &Tenants) const {
    json Routes = json::array();
    json Listed = json::array();
    for (const std::string &Service : Services) {
      std::string Number = Service.substr(std::strlen("records"));
      auto Route = [&](const std::string &Name, const std::string &Kind,
                       int TimeoutMs, int TargetMs, int StalenessMs) {
        json Result = {{"name", "r-" + Name + Number},
                       {"databaseName", Name + Number},
                       {"prefix", "/"},
                       {"routeKind", Kind},
                       {"timeoutMs", TimeoutMs},
                       {"targetLatencyMs", TargetMs},
                       {"priority", 1},
                       {"service", Service},
                       {"maxAttempts", 2},
                       {"allowAnonymous", false}};
        if (StalenessMs > 0)
          Result["maxStalenessMs"] = StalenessMs;
        Routes.push_back(Result);
      };
      Route("filing", "primary", 800, 150, 0);
      Route("lookup", "bounded_staleness", 2000, 500, 1500);
      Route("queue", "read_your_writes", 800, 250, 2500);
      Listed.push_back({{"name", Service},
                        {"healthPath", "/health"},
                        {"connectionLimit", 48},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"syncReplicas", 1}});
    }
    return {{"configVersion", Version},
            {"routes", Routes},
            {"services", Listed},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 262144},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000},
              {"transactionIdleMs", 3000}}},
            {"tenants", Tenants}};
  }

  static json tenant(const std::string &Name, const json &Keys, int Rate,
                     int Burst) {
    return {{"name", Name},
            {"apiKeys", Keys},
            {"priority", 1},
            {"ratePerS", Rate},
            {"burst", Burst}};
  }

  /// Starts the daemons; false if one is not ready in time.
  bool start() {
    for (auto &Daemon : Daemons)
      Daemon->start();
    for (auto &Daemon : Daemons)
      if (!Daemon->awaitReady(20s))
        return false;
    return true;
  }

  static constexpr const char *Ip = "127.0.0.10";
  std::string Folder;
  platform Platform;
  std::vector<std::string> Services;
  std::map<std::string, std::unique_ptr<database>> Databases;
  std::vector<std::unique_ptr<process>> Daemons;

private:
  static std::string makeFolder() {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "review2-XXXXXX").string();
    if (!mkdtemp(Pattern.data()))
      throw std::runtime_error("cannot create a temporary folder");
    return Pattern;
  }
};

/// Runs a case: \p Play gets the root of the repository and the record. Ends
/// the process with the verdict.
template <typename Play> int runCase(int Count, char **Arguments, Play Run) {
  if (Count != 3) {
    std::cerr << "usage: " << Arguments[0] << " ROOT RECORD\n";
    return static_cast<int>(verdict::NotRun);
  }
  record Record(Arguments[2]);
  verdict Verdict = verdict::NotRun;
  try {
    Verdict = Run(std::string(Arguments[1]), Record);
  } catch (const std::exception &Error) {
    Record.add("script", std::string("cannot run: ") + Error.what());
  }
  Record.add("script", Verdict == verdict::Held     ? "the rule held"
                       : Verdict == verdict::Broken ? "THE RULE WAS BROKEN"
                                                    : "not run");
  // Threads of the stand-ins still run.
  std::_Exit(static_cast<int>(Verdict));
}

} // namespace review2

#endif
