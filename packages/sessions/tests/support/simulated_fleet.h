#ifndef RADISHRELAY_SESSIONS_TESTS_SUPPORT_SIMULATED_FLEET_H
#define RADISHRELAY_SESSIONS_TESTS_SUPPORT_SIMULATED_FLEET_H

#include "simulated_host.h"

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace radishrelay::sessions::tests {

enum class fault_kind {
  /// The instance announces that it leaves, ends some seconds later and is
  /// replaced by a new one in the same failure domain.
  Release,
  ReleasePrimary,
  CrashPrimary,
  CrashInstance,
  /// Cuts the primary off from the other instances, the store and the hosts of
  /// other failure domains.
  IsolatePrimary,
  CutDomain,
  StoreDown,
  /// The replicas of one failure domain receive no log entries.
  Deaf,
  KillHost,
  FreezeHost,
  /// The store is down and comes back from a copy.
  RestoreStore,
  /// The next host that claims a promotion is cut off from the platform, killed
  /// or frozen a little later.
  CutPromoter,
  KillPromoter,
  FreezePromoter,
  /// As ReleasePrimary, but the new instance starts even if the store does not
  /// have the report of the one that leaves.
  ReplacePrimary,
  /// An instance sends a share of its answers twice.
  Stutter,
  /// A failure domain is evacuated.
  Evacuate,
  EvacuatePrimary,
  /// Cuts the paths between the primary and some of the hosts.
  CutHostsFromPrimary,
  KillAllHosts,
  /// As Release and ReleasePrimary, but the new instance starts before the
  /// other one announces that it leaves.
  ReleaseAfterStart,
  ReleasePrimaryAfterStart,
};
/// Number of the kinds that drawFaults draws.
constexpr std::size_t FaultKindCount = 10;
constexpr std::size_t AllFaultKindCount = 22;

/// Time from the announcement that an instance leaves to its end.
constexpr base::duration LeavingTime = std::chrono::milliseconds(7500);
/// Choices of the shares of its answers that an instance sends twice. Copies of
/// other answers soon close a connection, so control calls rarely meet a copy
/// of an earlier one unless their answers alone are sent twice.
constexpr std::array<stutter_shares, 4> StutterShares{
    {{0.02, 0.02}, {0.1, 0.1}, {0.4, 0.4}, {0, 0.6}}};
/// Number of choices of the instance that stutters.
constexpr std::size_t StutterTargets = 6;

/// A fault of a schedule.
struct scheduled_fault {
  fault_kind Kind = fault_kind::Release;
  /// Time since the start of the schedule.
  base::duration At{};
  base::duration For{};
  /// Chooses the instance, failure domain or host; the age of a copy in
  /// seconds; the time from a claim to the fault in units of 50 ms; the
  /// instance that stutters and, in sixes, the share of its answers; the hosts
  /// that are cut off from the primary, one bit for each.
  std::size_t Target = 0;

  friend bool operator==(const scheduled_fault &,
                         const scheduled_fault &) = default;
};

std::string describe(const scheduled_fault &Fault);

/// Draws a schedule whose faults come in series around a few moments, and at
/// the ends of releases that began before.
std::vector<scheduled_fault> drawFaults(std::uint64_t Seed);
/// Draws the same schedule with restores of the store around the same moments.
std::vector<scheduled_fault> drawFaultsWithRestores(std::uint64_t Seed);

/// Draws the same schedule with faults of the hosts that promote.
std::vector<scheduled_fault> drawFaultsOfPromoters(std::uint64_t Seed);

/// Draws the same schedule with periods in which instances answer twice.
std::vector<scheduled_fault> drawFaultsWithStutter(std::uint64_t Seed);

/// Draws the same schedule with failure domains that are evacuated, and with
/// restores of the store on some seeds.
std::vector<scheduled_fault> drawFaultsWithEvacuations(std::uint64_t Seed);

/// Draws the same schedule with cuts between the primary and some hosts, and
/// with releases around them whose new instances start first.
std::vector<scheduled_fault> drawFaultsWithPathCuts(std::uint64_t Seed);

/// Draws the same schedule with series of releases during which all hosts are
/// killed.
std::vector<scheduled_fault> drawFaultsWithMassKills(std::uint64_t Seed);

/// Size of a simulated fleet, and what its clients do.
struct fleet_shape {
  std::size_t Domains = 3;
  std::size_t Hosts = 6;
  std::size_t Groups = 1;
  client_habit Habit = client_habit::Plain;
  client_load Load{};
  /// Longest time from the start of an instance to its first report.
  base::duration MaxReportDelay{};
  /// Number of replicas that receive a commit before it is acknowledged.
  int SyncReplicas = 1;

  friend bool operator==(const fleet_shape &, const fleet_shape &) = default;
};

/// Several session engines before some database groups, driven in virtual time
/// through a schedule of faults.
class simulated_fleet {
public:
  simulated_fleet(std::uint64_t Seed, std::vector<scheduled_fault> Faults,
                  fleet_shape Shape = {});

  /// Runs the schedule to its end or to the first broken promise.
  void run();
  /// Runs the schedule for \p Time more.
  void runFor(base::duration Time);
  [[nodiscard]] const simulated_group &group() const { return Groups.first(); }
  [[nodiscard]] const simulated_groups &groups() const { return Groups; }
  [[nodiscard]] const simulated_world &world() const { return World; }
  /// Cuts one host in \p Interval off from all other nodes, or takes that back.
  void setHostsCut(std::size_t Interval, bool IsCut);
  /// Crashes the primaries of all groups, which come back after \p Time.
  void crashPrimaries(base::duration Time);
  [[nodiscard]] bool isHostCut(const std::string &Name) const {
    return Network.isIsolatedHost(Name);
  }
  [[nodiscard]] std::uint64_t steps() const { return Queue.steps(); }
  [[nodiscard]] std::uint64_t writesDone() const { return World.WritesDone; }
  /// Prints all state changes with their times to standard output.
  void enableTrace();

private:
  void inject(const scheduled_fault &Fault);
  /// Injects a fault of an instance; returns false if it is another one.
  bool injectIntoInstance(const scheduled_fault &Fault);
  void kill(simulated_host &Host, base::duration Time);
  void injectIntoPromoter(const scheduled_fault &Fault, simulated_host &Host);
  void restoreStore(const scheduled_fault &Fault);
  void crash(const base::instance_id &Id, base::duration Time);
  void deafen(const std::string &Domain, base::time_point Until);
  void evacuate(const std::string &Domain, const scheduled_fault &Fault);
  /// Checks that a statement may reach the instance: its failure domain is not
  /// evacuated, and it does not get too many while it is cold and listed so.
  void checkArrival(const std::string &Host,
                    const simulated_instance &Instance);
  void checkColdArrival(const std::string &Host, const base::instance_id &Id);
  [[nodiscard]] bool areAllInTouch() const;
  /// Whether \p Host and the store have been without trouble for long enough
  /// for the time bounds of evacuations to hold.
  [[nodiscard]] bool isInTouch(const std::string &Host) const;
  /// Records which hosts are in trouble now.
  void recordTrouble();
  void stutter(const base::instance_id &Id, const scheduled_fault &Fault);
  void release(const base::instance_id &Id);
  void awaitDrainReport(const base::instance_id &Id);
  void replace(const base::instance_id &Id);
  /// Starts the instance that replaces \p Id, which announces later that it
  /// leaves.
  void releaseAfterStart(const base::instance_id &Id);
  void cutHosts(const base::instance_id &Instance, std::size_t Hosts,
                bool IsCut);
  void startSuccessor(const base::instance_id &Id);
  void endLater(const base::instance_id &Id);
  [[nodiscard]] base::instance_id instanceAt(std::size_t Index) const;
  [[nodiscard]] std::string domainAt(std::size_t Index) const;
  void sendDatagram(const std::string &From, const std::string &Address,
                    const std::string &Bytes);

  event_queue Queue;
  simulated_network Network;
  base::random_generator Random;
  fleet_shape Shape;
  simulated_groups Groups;
  /// The group that the faults concern.
  simulated_group &Group;
  simulated_store Store;
  simulated_world World;
  std::vector<std::unique_ptr<simulated_host>> Hosts;
  /// Hosts by the addresses to which datagrams are sent.
  std::map<std::string, simulated_host *> HostsByAddress;
  std::vector<scheduled_fault> Faults;
  /// Faults that wait for the next claim of a promotion.
  std::vector<scheduled_fault> FaultsOfPromoters;
  base::time_point StartedAt;
  /// Last time at which a host, or the store under its own name, was in
  /// trouble.
  std::map<std::string, base::time_point> TroubledAt;
  /// Since when the store has listed an instance as cold.
  std::map<base::instance_id, base::time_point> ListedColdAt;
};

} // namespace radishrelay::sessions::tests

#endif
