#include "radishrelay/sessions/detail/fleet_limits.h"

#include "radishrelay/base/rendezvous.h"

#include <algorithm>

namespace radishrelay::sessions::detail {

namespace {

/// Maximum number of lenders asked before an operation exceeds its account's
/// limit: those of this failure domain and some others, as many as fit into the
/// latency target.
constexpr std::size_t MaxLenders = 8;

} // namespace

fleet_limits::fleet_limits(const engine_options &Options,
                           fleet_members &Members, event_log &Log)
    : Options(Options), Members(Members), Log(Log) {}

void fleet_limits::setCatalog(const catalog_ptr &NewCatalog,
                              base::time_point Now) {
  Catalog = NewCatalog;
  distribute(Now);
}

void fleet_limits::setOtherLimits(
    std::map<base::account_id, accounts::account_limits> NewLimits,
    base::time_point Now) {
  if (NewLimits == OtherLimits)
    return;
  OtherLimits = std::move(NewLimits);
  distribute(Now);
}

void fleet_limits::advance(base::time_point Now) {
  bool IsChanged = HostsVersion != Members.hostsVersion() ||
                   IsShareHeld != Members.holdsShares(Now);
  if (IsChanged)
    distribute(Now);
  for (const auto &[Account, Lender] : Borrower.advance(Now))
    ask(Account, Lender, 1, Now);
}

void fleet_limits::distribute(base::time_point Now) {
  HostsVersion = Members.hostsVersion();
  IsShareHeld = Members.holdsShares(Now);
  if (!Catalog)
    return;
  hosts_by_domain Hosts = Members.hosts();
  std::size_t HeldBefore = std::ranges::count_if(
      Shares, [](const auto &Entry) { return Entry.second.Share > 0; });
  Shares.clear();
  Lenders.clear();
  for (const auto &[Account, Limits] : Catalog->Limits)
    distribute(Limits, Hosts, false);
  for (const auto &[Account, Limits] : OtherLimits)
    distribute(Limits, Hosts, true);
  std::size_t Held = std::ranges::count_if(
      Shares, [](const auto &Entry) { return Entry.second.Share > 0; });
  std::erase_if(OpenRequests, [this](const auto &Entry) {
    return !Shares.contains(Entry.first);
  });
  Limiter.configure(Shares, Now);
  if (Held != HeldBefore)
    Log.stateChange("shares of limits changed",
                    {{"accounts_held", Held},
                     {"before", HeldBefore},
                     {"hosts", countHosts(Hosts)},
                     {"configuration", Catalog->Version}});
}

void fleet_limits::distribute(const accounts::account_limits &Limits,
                              const hosts_by_domain &Hosts,
                              bool HasStrictLoans) {
  hosts_by_domain Owners = limitOwners(Limits, Hosts);
  auto Own = Owners.find(Options.Domain.str());
  bool IsOwner = Own != Owners.end() &&
                 std::ranges::count(Own->second, Options.Host.str()) > 0;
  auto Count = static_cast<accounts::millionths>(countHosts(Owners));
  bool HasShare = IsOwner && IsShareHeld;
  Shares[Limits.Account] = {Limits,
                            HasShare ? accounts::WholeInMillionths / Count : 0,
                            HasStrictLoans};
  Lenders[Limits.Account] = lenders(Owners);
}

std::vector<std::string>
fleet_limits::lenders(const hosts_by_domain &Owners) const {
  std::vector<std::string> Result;
  // Each host asks in a different order, which spreads the load.
  auto Append = [&](const std::vector<std::string> &Names) {
    for (const std::string &Name :
         base::rendezvousOrder(Options.Host.str(), Names))
      if (Name != Options.Host.str() && Result.size() < MaxLenders)
        Result.push_back(Members.addressOf(Name));
  };
  auto Own = Owners.find(Options.Domain.str());
  std::vector<std::string> Others;
  for (const auto &[Domain, Names] : Owners)
    if (Domain != Options.Domain.str())
      Others.insert(Others.end(), Names.begin(), Names.end());
  if (Own != Owners.end())
    Append(Own->second);
  // Lenders of this domain fill at most half of the list, to leave room for
  // lenders of other domains, which have tokens when the load differs between
  // domains.
  Result.resize(std::min(Result.size(), MaxLenders / 2));
  Append(Others);
  std::erase(Result, std::string());
  return Result;
}

void fleet_limits::ask(const base::account_id &Account,
                       const std::string &Lender, std::int64_t Waiting,
                       base::time_point Now) {
  std::set<base::time_point> &Open = OpenRequests[Account];
  while (!Open.empty() &&
         Now > *Open.begin() + accounts::lending_limiter::LoanLifetime)
    Open.erase(Open.begin());
  Open.insert(Now);
  Members.send(token_request{Limiter.requestFor(Account, Waiting), Now},
               Lender);
}

bool fleet_limits::takeRequest(const base::account_id &Account,
                               base::time_point AskedAt) {
  auto Open = OpenRequests.find(Account);
  return Open != OpenRequests.end() && Open->second.erase(AskedAt) > 0;
}

void fleet_limits::borrow(const base::account_id &Account, std::int64_t Waiting,
                          base::time_point Now) {
  if (Borrower.isAsking(Account))
    return;
  auto Known = Lenders.find(Account);
  std::vector<std::string> Candidates =
      Known == Lenders.end() ? std::vector<std::string>() : Known->second;
  if (auto Lender = Borrower.start(Account, std::move(Candidates), Now))
    ask(Account, *Lender, Waiting, Now);
}

void fleet_limits::receive(const token_request &Request,
                           const std::string &ReplyTo, base::time_point Now) {
  // A refusal is sent too, so that the borrower asks the next owner at once.
  token_grant Grant{
      Limiter.lend(Request.Transfer, Now)
          .value_or(accounts::token_transfer{Request.Transfer.Account, 0}),
      Request.AskedAt};
  Members.send(Grant, ReplyTo);
}

void fleet_limits::receive(const token_grant &Grant, const std::string &Lender,
                           base::time_point Now) {
  const base::account_id &Account = Grant.Transfer.Account;
  bool HasTokens = Grant.Transfer.Tokens > 0;
  bool IsCounted = !Grant.AskedAt || takeRequest(Account, *Grant.AskedAt);
  if (HasTokens && IsCounted) {
    Limiter.receive(Grant.Transfer, Grant.AskedAt.value_or(Now), Now);
    HasReceivedTokens = true;
  }
  if (auto Next = Borrower.answered(Account, Lender, HasTokens, Now))
    ask(Account, *Next, 1, Now);
}

bool fleet_limits::takeUpdate() {
  bool HasExhausted = Borrower.takeExhausted();
  return std::exchange(HasReceivedTokens, false) || HasExhausted;
}

base::json fleet_limits::dump() const {
  base::json Result = Limiter.dump();
  for (const auto &[Account, Share] : Shares)
    Result[Account.str()]["part_millionths"] = Share.Share;
  return Result;
}

} // namespace radishrelay::sessions::detail
