#include "measurements.h"
#include "resources.h"

#include "fake_store.h"

#include "radishrelay/accounts/account_limiter.h"
#include "radishrelay/accounts/limits_timing.h"

#include <stdexcept>

namespace radishrelay::bench {

using namespace accounts;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t AccountCounts[] = {8, 100, 1000, 10000};
constexpr std::int64_t SlotCount = 2800;
constexpr std::size_t DomainCount = 12;
/// Within the leased burst of eight accounts.
constexpr std::size_t Admissions = 400'000;

/// The limiter of one host, owner of all accounts, with the store at hand.
class limited_host {
public:
  explicit limited_host(std::size_t Accounts, std::size_t Hosts = 1)
      : Limiter(Self) {
    limits_configuration Configuration;
    Configuration.Version = 1;
    Configuration.SlotCount = SlotCount;
    Configuration.FloorFraction = 300'000;
    for (std::size_t Index = 0; Index < Accounts; ++Index)
      Configuration.Accounts.push_back({accountName(Index), 100'000, 200'000});
    perform(Limiter.configure(Configuration, Now));
    std::vector<live_host> Live = {{Self.Host, Self.FailureDomain}};
    for (std::size_t Index = 1; Index < Hosts; ++Index)
      Live.push_back({base::host_id("host-" + std::to_string(Index)),
                      base::failure_domain_id(
                          "domain-" + std::to_string(Index % DomainCount))});
    perform(Limiter.setLive(Live, Now));
  }

  static base::account_id accountName(std::size_t Index) {
    return base::account_id("account-" + std::to_string(Index));
  }

  void tick() {
    Now += timing::TickInterval;
    perform(Limiter.tick(Now));
  }

  void run(base::duration Length) {
    for (base::time_point End = Now + Length; Now < End;)
      tick();
  }

  bool admit(std::size_t Account) {
    limiter_actions Actions =
        Limiter.admit(++Request, accountName(Account), Now + 1s, Now);
    for (const limiter_action &Action : Actions)
      if (const auto *Decision = std::get_if<request_decided>(&Action))
        return std::holds_alternative<admitted>(Decision->Admission);
    return false;
  }

  fakes::fake_store Store;
  /// Size of the rows that were read.
  std::uint64_t ReadBytes = 0;

private:
  void perform(const limiter_actions &Actions) {
    for (const limiter_action &Action : Actions) {
      const auto *Ask = std::get_if<ask_store>(&Action);
      if (Ask == nullptr)
        continue;
      base::store_answer Answer = Store.apply(Ask->Request);
      Answer.SentAt = Now;
      for (const base::table_row &Row : Answer.Rows)
        ReadBytes += Row.Value.dump().size();
      perform(Limiter.storeAnswered(Ask->User, Answer, Now));
    }
  }

  host_identity Self{base::host_id("host-0"),
                     base::failure_domain_id("domain-0"), 1};
  account_limiter Limiter;
  base::time_point Now = base::fromMicroseconds(1'000'000);
  request_number Request = 0;
};

/// A second has 100 ticks; in one of them the owners are chosen anew.
slopes measureTicks() {
  slope ByAccounts("limiter ticks of a second, 1 host, store answered", "us",
                   "accounts");
  for (std::size_t Size : AccountCounts) {
    limited_host Host(Size);
    ByAccounts.add(static_cast<double>(Size),
                   microsecondsPerCall(1, [&](std::size_t) { Host.run(1s); }));
  }
  slope ByHosts("limiter ticks of a second, 8 accounts", "us", "hosts");
  slope Products("limiter ticks of a second, 100 accounts", "us", "hosts");
  for (std::size_t Size : {21U, 100U, 500U, 2600U}) {
    limited_host Few(8, Size);
    limited_host Many(100, Size);
    auto Count = static_cast<double>(Size);
    ByHosts.add(Count,
                microsecondsPerCall(1, [&](std::size_t) { Few.run(1s); }));
    Products.add(Count,
                 microsecondsPerCall(1, [&](std::size_t) { Many.run(1s); }));
  }
  return {ByAccounts, ByHosts, Products};
}

slope measureAdmission() {
  slope Result("limiter admission", "us", "accounts");
  for (std::size_t Size : AccountCounts) {
    limited_host Host(Size);
    // Leased shares serve only after the configuration phase and their claim.
    Host.run(Size > 1000 ? 12s : 20s);
    double Start = threadMicroseconds();
    for (std::size_t Index = 0; Index < Admissions; ++Index)
      if (!Host.admit(Index % Size))
        throw std::runtime_error("a request was not admitted");
    double Cost = (threadMicroseconds() - Start) / Admissions;
    Result.add(static_cast<double>(Size), Cost);
  }
  return Result;
}

slope measureMemory() {
  slope Result("memory of client accounts in the limiter", "bytes", "accounts");
  std::vector<std::unique_ptr<limited_host>> Hosts;
  for (std::size_t Size : AccountCounts) {
    double Before = residentBytes();
    Hosts.push_back(std::make_unique<limited_host>(Size));
    Result.add(static_cast<double>(Size), residentBytes() - Before);
  }
  return Result;
}

/// Ten seconds of a host that owns all accounts of a domain.
slopes measureStore() {
  slope Reads("store reads of an owner", "1/s", "accounts");
  slope Bytes("bytes read from the store by an owner", "bytes/s", "accounts");
  slope Writes("rows written to the store by an owner", "1/s", "accounts");
  for (std::size_t Size : {8U, 100U, 1000U, 2000U}) {
    limited_host Host(Size);
    Host.run(12s);
    std::uint64_t ReadsBefore = Host.Store.Reads;
    std::uint64_t BytesBefore = Host.ReadBytes;
    std::uint64_t WritesBefore = Host.Store.Writes;
    Host.run(10s);
    auto PerSecond = [](std::uint64_t After, std::uint64_t Before) {
      return static_cast<double>(After - Before) / 10;
    };
    auto Count = static_cast<double>(Size);
    Reads.add(Count, PerSecond(Host.Store.Reads, ReadsBefore));
    Bytes.add(Count, PerSecond(Host.ReadBytes, BytesBefore));
    Writes.add(Count, PerSecond(Host.Store.Writes, WritesBefore));
  }
  return {Reads, Bytes, Writes};
}

} // namespace

slopes measureLimits() {
  slopes Result = {measureMemory(), measureAdmission()};
  for (slope &Slope : measureTicks())
    Result.push_back(std::move(Slope));
  for (slope &Slope : measureStore())
    Result.push_back(std::move(Slope));
  return Result;
}

} // namespace radishrelay::bench
