#ifndef RADISHRELAY_BENCH_FLEET_BENCH_NETWORK_H
#define RADISHRELAY_BENCH_FLEET_BENCH_NETWORK_H

#include "radishrelay/base/random_generator.h"
#include "radishrelay/fleet/configuration_replica.h"
#include "radishrelay/fleet/membership.h"

#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>

namespace radishrelay::bench {

/// Size and faults of one run.
struct network_options {
  std::size_t Hosts = 13;
  std::size_t Domains = 3;
  double Loss = 0;
  std::uint64_t Seed = 1;
};

/// What all hosts sent since the last reset.
struct network_traffic {
  std::uint64_t Packets = 0;
  std::uint64_t PacketBytes = 0;
  std::uint64_t Calls = 0;
  std::uint64_t CallBytes = 0;
  std::uint64_t StoreReads = 0;
  /// Real time spent on encoding, decoding and deciding.
  std::uint64_t Nanoseconds = 0;
  /// The same, of the witnesses alone.
  std::uint64_t WitnessPackets = 0;
  std::uint64_t WitnessBytes = 0;
  std::uint64_t WitnessNanoseconds = 0;
};

/// Memberships and replicas of a whole fleet in virtual time.
class bench_network {
public:
  explicit bench_network(const network_options &Options);

  void run(base::duration Duration);
  /// Stores a patch as an editor would, and offers it to one host.
  void publish();
  void kill(std::size_t Index) { Hosts[Index].Dead = true; }
  void resetTraffic();

  /// Hosts that are alive and hold the newest version.
  [[nodiscard]] std::size_t holders() const;
  /// Live hosts of the domain of \p Index that hold it for live.
  [[nodiscard]] std::size_t believers(std::size_t Index) const;
  [[nodiscard]] std::size_t freshHosts() const;
  [[nodiscard]] std::size_t witnesses() const {
    return Document.Witnesses.size();
  }

  base::time_point Now = base::fromMicroseconds(1'000'000);
  network_traffic Traffic;
  /// Times that a host which is alive was suspected, and declared gone.
  std::uint64_t FalseSuspicions = 0;
  std::uint64_t FalselyGone = 0;

private:
  struct host {
    fleet::member_update Self;
    std::unique_ptr<fleet::membership> Membership;
    std::unique_ptr<fleet::configuration_replica> Replica;
    bool Dead = false;
  };
  struct event {
    base::time_point At;
    std::uint64_t Order;
    std::function<void()> Run;
    bool operator<(const event &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  [[nodiscard]] bool isWitness(std::size_t Index) const;
  void addHosts();
  void introduce();
  void schedule(base::duration After, std::function<void()> Run);
  void tick(std::size_t Index);
  void receive(std::size_t To, std::size_t From, const std::string &Packet);
  void perform(std::size_t Index, const fleet::membership_actions &Actions);
  void perform(std::size_t Index, const fleet::replica_actions &Actions);
  void perform(std::size_t Index, const fleet::send_packet &Action);
  void perform(std::size_t Index, const fleet::member_changed &Action);
  void perform(std::size_t Index, const fleet::peer_evidence &Action);
  void perform(std::size_t Index, const fleet::peer_version &Action);
  void perform(std::size_t Index, const fleet::version_answered &Action);
  void perform(std::size_t Index, const fleet::fetch_configuration &Action);
  void perform(std::size_t Index, const fleet::read_store &Action);
  void perform(std::size_t Index, const fleet::configuration_adopted &Action);
  void perform(std::size_t Index, const fleet::configuration_diverged &Action);
  void perform(std::size_t Index, const fleet::request_version &Action);
  base::store_answer readRow(const base::store_request &Request);

  network_options Options;
  base::random_generator Random;
  std::vector<host> Hosts;
  std::unordered_map<std::string, std::size_t> ByAddress;
  std::unordered_map<std::string, std::size_t> ByName;
  fleet::configuration_document Document;
  std::map<base::row_key, base::json> Rows;
  std::priority_queue<event> Queue;
  std::uint64_t LastOrder = 0;
};

} // namespace radishrelay::bench

#endif
