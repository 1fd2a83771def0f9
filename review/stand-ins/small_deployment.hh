// A small deployment: the platform, one database of three instances and three
// daemons, each in a zone of its own, and a client account.
#ifndef REVIEW_SMALL_DEPLOYMENT_HH
#define REVIEW_SMALL_DEPLOYMENT_HH

#include "deployment.hh"
#include "partition.hh"

namespace review {

/// Removes the folder with all its files at the end.
class temporary_folder {
public:
  temporary_folder() {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!mkdtemp(Pattern.data()))
      throw std::runtime_error("cannot create a temporary folder");
    Path = Pattern;
  }
  ~temporary_folder() {
    std::error_code Ignored;
    if (!std::getenv("REVIEW_KEEP"))
      std::filesystem::remove_all(Path, Ignored);
  }
  temporary_folder(const temporary_folder &) = delete;
  temporary_folder &operator=(const temporary_folder &) = delete;
  [[nodiscard]] const std::filesystem::path &path() const { return Path; }

private:
  std::filesystem::path Path;
};

struct small_deployment {
  static constexpr const char *Service = "records";
  static constexpr const char *Tenant = "installers";
  static constexpr const char *Key = "k-installers";
  /// Name of the database of a `primary` route, and of a `bounded_staleness`
  /// route, on the same service.
  static constexpr const char *Filings = "filings";
  static constexpr const char *Lookups = "lookups";

  small_deployment(const std::filesystem::path &Root,
                   const std::filesystem::path &Folder)
      : Record((Folder / "record.txt").string()), Platform(Record),
        Database({.Service = Service, .Zones = Zones}, Platform, Record) {
    Platform.setPromoter([this](const promotion_order &Order) {
      {
        std::lock_guard Guard(Mutex);
        Orders.push_back(Order);
      }
      return Database.promote(Order);
    });
    Platform.put("op", "config", configuration());
    for (std::size_t Index = 0; Index < Zones.size(); ++Index) {
      StoreLinks.push_back(std::make_unique<partition>(Platform.storePort()));
      PromotionLinks.push_back(
          std::make_unique<partition>(Platform.promotionsPort()));
      daemon_process::addresses Ports;
      Ports.Store = StoreLinks.back()->port();
      Ports.Promotions = PromotionLinks.back()->port();
      Daemons.push_back(std::make_unique<daemon_process>(
          Root, Temporary.path(), "front-" + Zones[Index] + "-1", Zones[Index],
          Ports, Record));
    }
  }

  static json configuration() {
    auto Route = [](const char *Database, const char *Kind, int TimeoutMs,
                    int TargetMs) {
      return json{{"name", std::string("route-") + Database},
                  {"databaseName", Database},
                  {"service", Service},
                  {"routeKind", Kind},
                  {"maxStalenessMs", 1500},
                  {"timeoutMs", TimeoutMs},
                  {"targetLatencyMs", TargetMs},
                  {"priority", 1},
                  {"allowAnonymous", false}};
    };
    return {
        {"configVersion", 7},
        {"routes",
         {Route(Filings, "primary", 800, 150),
          Route(Lookups, "bounded_staleness", 3000, 500)}},
        {"services",
         {{{"name", Service}, {"connectionLimit", 48}, {"syncReplicas", 1}}}},
        {"tenants",
         {{{"name", Tenant},
           {"apiKeys", {Key}},
           {"ratePerS", 100.0},
           {"burst", 200.0}}}},
        {"limits", {{"transactionIdleMs", 5000}}}};
  }

  /// Waits until each daemon is ready and serves a write and a read; a new
  /// fleet needs some seconds to divide the accounts' limits.
  bool waitUntilServing() {
    return waitFor(30s, [this] {
      return std::ranges::all_of(Daemons, [this](const auto &Daemon) {
        std::this_thread::sleep_for(100ms);
        if (!Daemon->isReady())
          return false;
        std::string Id = nextId();
        client Probe(Daemon->front(), "probe", Record);
        return Probe.start(Filings, Key) &&
               !Probe.run(Id, "WRITE probe " + Id).Receipt.empty() &&
               !Probe.run(nextId(), "READ probe").Receipt.empty();
      });
    });
  }

  std::string nextId() {
    char Id[32];
    std::snprintf(Id, sizeof(Id), "5c0e7a21%08x", ++LastId);
    return Id;
  }

  std::vector<promotion_order> orders() {
    std::lock_guard Guard(Mutex);
    return Orders;
  }

  std::vector<std::string> Zones{"ne-boston", "ne-hartford", "ne-portland"};
  temporary_folder Temporary;
  record Record;
  platform Platform;
  database Database;
  std::vector<std::unique_ptr<partition>> StoreLinks;
  std::vector<std::unique_ptr<partition>> PromotionLinks;
  std::vector<std::unique_ptr<daemon_process>> Daemons;
  std::mutex Mutex;
  std::vector<promotion_order> Orders;
  unsigned LastId = 0;
};

} // namespace review

#endif
