#include "radishrelay/sessions/detail/fleet_members.h"

#include "radishrelay/base/json_fields.h"
#include "radishrelay/base/rendezvous.h"
#include "radishrelay/base/store_version.h"

#include <algorithm>

namespace radishrelay::sessions::detail {

namespace {

constexpr const char *MembersTable = "members";
/// Time after which an unanswered call is repeated.
constexpr base::duration CallTimeout = std::chrono::seconds(2);
/// Delay after a failed renewal.
constexpr base::duration RenewalRetryDelay = std::chrono::seconds(2);
/// Minimum delay between two reads, failed or not.
constexpr base::duration ReadRetryDelay = std::chrono::seconds(1);
/// Interval between reads of a host that does not see its own row yet. It is
/// short because all hosts may have started together.
constexpr base::duration JoinReadInterval = std::chrono::milliseconds(1500);
/// Interval between reads of a watcher. A host that joins has to be known to
/// all hosts within NewMemberDelay.
constexpr base::duration WatcherReadInterval = std::chrono::seconds(4);
/// Hosts of each failure domain that watch the store for the others; two, since
/// one may be down.
constexpr std::size_t WatchersPerDomain = 2;
constexpr const char *WatchKey = "watch the store";
/// Hosts that are asked for the claims in turn: enough that one is left when
/// half of the hosts are down, and few reads if the store answers none of them.
constexpr std::size_t ReadersPerHost = 4;
/// Hosts that ask the same reader first: two requests a second of each take a
/// few percent of the processor of a small host.
constexpr std::size_t HostsPerReader = 64;
constexpr const char *ReaderKey = "read the claims";
/// Hosts of each failure domain that probe the instances of a group. The others
/// ask these hosts for proofs, since a status call occupies a slot and a
/// connection of the instance. Enough that some are left when half are down.
constexpr std::size_t ProbersPerDomain = 8;
/// Hosts that may carry out a promotion of a group. Enough that some are left
/// when a failure domain is cut off and half of the hosts are down.
constexpr std::size_t MaxPromoters = 8;
/// Delay of a promoter per promoter of a higher rank: the time that a claim
/// takes on a slow store.
constexpr base::duration PromotionDelayPerRank = std::chrono::milliseconds(250);

} // namespace

fleet_members::fleet_members(const engine_options &Options, store_calls &Store,
                             coordination_port &Port, event_log &Log)
    : Options(Options), Store(Store), Port(Port), Log(Log) {}

std::size_t fleet_members::size() const {
  bool HasSelf = Members.contains(Options.Host.str());
  return Members.size() + (HasSelf ? 0 : 1);
}

hosts_by_domain fleet_members::hosts() const {
  hosts_by_domain Result;
  for (const auto &[Name, Member] : Members)
    if (Name != Options.Host.str())
      Result[Member.Domain].push_back(Name);
  Result[Options.Domain.str()].push_back(Options.Host.str());
  return Result;
}

std::string fleet_members::addressOf(const std::string &Host) const {
  auto Member = Members.find(Host);
  return Member == Members.end() ? std::string() : Member->second.Address;
}

group_roles fleet_members::rolesFor(const base::group_id &Group) const {
  hosts_by_domain Hosts = hosts();
  std::vector<std::string> Domains;
  for (auto &[Domain, Names] : Hosts) {
    Domains.push_back(Domain);
    Names = base::rendezvousOrder(Group.str(), Names);
    Names.resize(std::min(Names.size(), ProbersPerDomain));
  }
  Domains = base::rendezvousOrder(Group.str(), Domains);

  group_roles Result;
  Result.Voters = countHosts(Hosts);
  Result.Domains = Hosts.size();
  for (const std::string &Name : Hosts[Options.Domain.str()]) {
    if (Name != Options.Host.str())
      Result.Probers.push_back(addressOf(Name));
    else
      Result.IsProber = true;
  }
  Result.IsFirstProber =
      Hosts[Options.Domain.str()].front() == Options.Host.str();
  // Ranks the first prober of each domain, then the second probers, and so on.
  std::size_t Rank = 0;
  for (std::size_t Index = 0; Index < ProbersPerDomain; ++Index)
    for (const std::string &Domain : Domains) {
      if (Index >= Hosts[Domain].size() || Rank == MaxPromoters)
        continue;
      const std::string &Name = Hosts[Domain][Index];
      if (Name == Options.Host.str()) {
        Result.IsPromoter = true;
        Result.PromotionDelay =
            PromotionDelayPerRank * static_cast<std::int64_t>(Rank);
      } else {
        Result.Promoters.push_back(addressOf(Name));
      }
      ++Rank;
    }
  return Result;
}

void fleet_members::advance(base::time_point Now) {
  if (IsRenewing && Now >= RenewalSentAt + CallTimeout)
    IsRenewing = false;
  if (IsReading && Now >= ReadSentAt + CallTimeout)
    IsReading = false;
  if (Now >= nextReadAt())
    read(Now);
  // The first read shows whether the other hosts already count this host, so it
  // precedes the first renewal.
  if (ReadAt && !IsRenewing && Now >= NextRenewalAt)
    renew(Now);
}

base::time_point fleet_members::nextWake() const {
  base::time_point Renewal = IsRenewing ? RenewalSentAt + CallTimeout
                             : ReadAt   ? NextRenewalAt
                                        : base::time_point::max();
  base::time_point Read = IsReading ? ReadSentAt + CallTimeout : nextReadAt();
  return std::min(Renewal, Read);
}

base::time_point fleet_members::nextReadAt() const {
  if (IsReading)
    return base::time_point::max();
  if (!ReadAt || IsBehind)
    return NextReadTryAt;
  bool IsJoining = !Members.contains(Options.Host.str());
  base::time_point Due =
      IsJoining   ? *ReadAt + JoinReadInterval
      : IsWatcher ? *ReadAt + WatcherReadInterval
                  : std::max(*ReadAt, ConfirmedAt) + Options.MemberInterval;
  return std::max(NextReadTryAt, Due);
}

void fleet_members::renew(base::time_point Now) {
  IsRenewing = true;
  RenewalSentAt = Now;
  NextRenewalAt = Now + Options.MemberInterval;
  base::json Value = base::json::object();
  Value["domain"] = Options.Domain.str();
  Value["address"] = Options.PeerAddress;
  Value["incarnation"] = Options.Incarnation;
  base::store_transaction Transaction;
  Transaction.Writes.push_back(
      {{MembersTable, Options.Host.str()}, std::move(Value)});
  Store.execute(Transaction, [this, Now](const auto &Answer, auto At) {
    onRenewed(Answer, Now, At);
  });
}

void fleet_members::onRenewed(const base::store_answer &Answer,
                              base::time_point SentAt, base::time_point Now) {
  IsRenewing = false;
  if (Answer.Outcome == base::store_outcome::Done)
    RenewedAt = std::max(RenewedAt.value_or(SentAt), SentAt);
  else
    NextRenewalAt = std::min(NextRenewalAt, Now + RenewalRetryDelay);
}

void fleet_members::read(base::time_point Now) {
  IsReading = true;
  ReadSentAt = Now;
  Store.execute(
      base::read_table{MembersTable},
      [this, Now](const auto &Answer, auto At) { onRead(Answer, Now, At); });
}

void fleet_members::onRead(const base::store_answer &Answer,
                           base::time_point SentAt, base::time_point Now) {
  IsReading = false;
  NextReadTryAt = Now + ReadRetryDelay;
  if (Answer.Outcome != base::store_outcome::Done)
    return;
  std::map<std::string, member> Current;
  for (const base::table_row &Row : Answer.Rows) {
    member Member{Row.Version, Now, base::textField(Row.Value, "domain"),
                  base::textField(Row.Value, "address")};
    if (Member.Domain.empty()) {
      if (Log.wantsDecision(true))
        Log.decision("row of a member not readable",
                     {{"host", Row.Key.Key}, {"version", Row.Version}});
      continue;
    }
    if (isSameRow(Removed, Row)) {
      removeRow(Row.Key.Key, Row.Version);
      continue;
    }
    // A restored store shows rows in another history without a renewal.
    if (isSameRow(Members, Row))
      Member.SeenAt = Members.at(Row.Key.Key).SeenAt;
    Current.emplace(Row.Key.Key, std::move(Member));
  }
  recordMissing(Current, base::historyOf(Answer.Version), Now);
  if (Current.size() != Members.size())
    Log.stateChange("fleet size changed",
                    {{"hosts", Current.size()}, {"before", Members.size()}});
  Members = std::move(Current);
  if (!ReadAt) {
    bool IsCounted = Members.contains(Options.Host.str());
    SharesUsableAt = IsCounted ? Now : Now + Options.NewMemberDelay;
  }
  updateHosts();
  ReadAt = SentAt;
  IsBehind = false;
  removeExpired(Now);
}

bool fleet_members::isSameRow(const std::map<std::string, member> &Known,
                              const base::table_row &Row) {
  auto Entry = Known.find(Row.Key.Key);
  return Entry != Known.end() && base::storeNumberOf(Entry->second.Version) ==
                                     base::storeNumberOf(Row.Version);
}

void fleet_members::recordMissing(std::map<std::string, member> &Current,
                                  std::uint64_t History, base::time_point Now) {
  std::erase_if(Removed, [&](const auto &Entry) {
    return Now >= Entry.second.SeenAt + 2 * Options.MemberLifetime;
  });
  for (const auto &[Name, Member] : Members) {
    if (Current.contains(Name))
      continue;
    bool IsLost = base::historyOf(Member.Version) < History &&
                  Now < Member.SeenAt + Options.MemberLifetime;
    if (IsLost)
      Current.emplace(Name, Member);
    else
      Removed[Name] = Member;
  }
}

void fleet_members::updateHosts() {
  std::string Text;
  for (const auto &[Name, Member] : Members)
    Text += Name + ' ' + Member.Domain + ' ' + Member.Address + '\n';
  std::uint64_t Digest = base::stableHash(Text);
  if (Digest == HostsDigest)
    return;
  HostsDigest = Digest;
  ++HostsVersion;
  updateClaimReaders();
  std::vector<std::string> Order =
      base::rendezvousOrder(WatchKey, hosts()[Options.Domain.str()]);
  Order.resize(std::min(Order.size(), WatchersPerDomain));
  bool WasWatcher = IsWatcher;
  // When the whole fleet starts, the other hosts are not known until their rows
  // are read together with the row of this host.
  IsWatcher = Members.contains(Options.Host.str()) &&
              std::ranges::count(Order, Options.Host.str()) > 0;
  if (IsWatcher != WasWatcher)
    Log.stateChange("watching the store", {{"watcher", IsWatcher}});
}

void fleet_members::updateClaimReaders() {
  std::vector<std::string> Order =
      base::rendezvousOrder(ReaderKey, hosts()[Options.Domain.str()]);
  std::size_t First = base::stableHash(Options.Host.str()) %
                      (1 + Order.size() / HostsPerReader);
  ClaimReaders.clear();
  for (std::size_t Index = 0; Index < std::min(Order.size(), ReadersPerHost);
       ++Index) {
    const std::string &Name = Order[(First + Index) % Order.size()];
    ClaimReaders.push_back(Name == Options.Host.str() ? Options.PeerAddress
                                                      : addressOf(Name));
  }
  if (std::ranges::count(ClaimReaders, Options.PeerAddress) == 0)
    ClaimReaders.push_back(Options.PeerAddress);
}

void fleet_members::sendToDomain(watch_report Report, base::time_point Now) {
  for (const auto &[Name, Member] : Members)
    if (Member.Domain == Options.Domain.str() && Name != Options.Host.str())
      sendReport(Report, Member.Address, Now);
}

void fleet_members::sendReport(watch_report Report, const std::string &Address,
                               base::time_point Now) {
  Report.HostsDigest = HostsDigest;
  Report.HostsAge = Now - ReadAt.value_or(base::time_point{});
  send(Report, Address);
}

std::vector<fleet_members::peer> fleet_members::others() const {
  std::vector<peer> Result;
  for (const auto &[Name, Member] : Members)
    if (Name != Options.Host.str())
      Result.push_back(
          {Name, base::failure_domain_id(Member.Domain), Member.Address});
  return Result;
}

std::vector<std::string> fleet_members::someOthers(std::size_t Count) const {
  std::vector<std::string> Names;
  for (const auto &[Name, Member] : Members)
    if (Name != Options.Host.str())
      Names.push_back(Name);
  std::vector<std::string> Result;
  for (const std::string &Name :
       base::rendezvousOrder(Options.Host.str(), Names))
    if (Result.size() < Count)
      Result.push_back(addressOf(Name));
  return Result;
}

void fleet_members::receive(const watch_report &Report, base::time_point Now) {
  base::time_point AsOf = Now - Report.HostsAge;
  if (!ReadAt || AsOf <= *ReadAt)
    return;
  if (Report.HostsDigest == HostsDigest)
    ConfirmedAt = std::max(ConfirmedAt, AsOf);
  else
    IsBehind = true;
}

void fleet_members::removeExpired(base::time_point Now) {
  for (const auto &[Name, Member] : Members) {
    if (Now < Member.SeenAt + Options.MemberLifetime)
      continue;
    removeRow(Name, Member.Version);
    return;
  }
}

void fleet_members::removeRow(const std::string &Name,
                              base::row_version Version) {
  base::store_transaction Transaction;
  base::row_key Key{MembersTable, Name};
  Transaction.Conditions.push_back({Key, Version});
  Transaction.Writes.push_back({Key, nullptr});
  // Fails if another host has already removed the row; the next read shows the
  // result.
  Store.execute(Transaction, [](const auto &, auto) {});
}

bool fleet_members::holdsShares(base::time_point Now) const {
  return RenewedAt && Now < *RenewedAt + Options.ShareLifetime &&
         Now >= SharesUsableAt;
}

void fleet_members::send(const peer_message &Message,
                         const std::string &Address) {
  Port.sendDatagram(Address, encodeDatagram({Options.PeerAddress, Message}));
}

base::json fleet_members::dump() const {
  return {{"hosts", size()}, {"hosts_version", HostsVersion}};
}

} // namespace radishrelay::sessions::detail
