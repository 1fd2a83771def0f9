#include "radishrelay/sessions/detail/fleet_limits.h"

#include "radishrelay/base/rendezvous.h"

#include <algorithm>

namespace radishrelay::sessions::detail {

namespace {

/// Lenders asked before an operation counts as beyond its account's limit:
/// those of this failure domain and some others, within a latency target.
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

void fleet_limits::advance(base::time_point Now) {
  bool IsChanged = HostsVersion != Members.hostsVersion() ||
                   IsShareHeld != Members.holdsShares(Now);
  if (IsChanged)
    distribute(Now);
  for (const auto &[Account, Lender] : Borrower.advance(Now))
    ask(Account, Lender, 1);
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
  std::size_t Held = 0;
  for (const auto &[Account, Limits] : Catalog->Limits) {
    hosts_by_domain Holders = limitHolders(Limits, Hosts);
    auto Own = Holders.find(Options.Domain.str());
    bool IsHolder = Own != Holders.end() &&
                    std::ranges::count(Own->second, Options.Host.str()) > 0;
    auto Count = static_cast<accounts::millionths>(countHosts(Holders));
    bool HasShare = IsHolder && IsShareHeld;
    Shares[Account] = {Limits,
                       HasShare ? accounts::WholeInMillionths / Count : 0};
    Lenders[Account] = lenders(Holders);
    Held += HasShare ? 1 : 0;
  }
  Limiter.configure(Shares, Now);
  if (Held != HeldBefore)
    Log.belief("shares of limits changed",
               {{"accounts_held", Held},
                {"before", HeldBefore},
                {"hosts", countHosts(Hosts)},
                {"configuration", Catalog->Version}});
}

std::vector<std::string>
fleet_limits::lenders(const hosts_by_domain &Holders) const {
  std::vector<std::string> Result;
  // Hosts ask in different orders, so that the load is spread.
  auto Append = [&](const std::vector<std::string> &Names) {
    for (const std::string &Name :
         base::rendezvousOrder(Options.Host.str(), Names))
      if (Name != Options.Host.str() && Result.size() < MaxLenders)
        Result.push_back(Members.addressOf(Name));
  };
  auto Own = Holders.find(Options.Domain.str());
  std::vector<std::string> Others;
  for (const auto &[Domain, Names] : Holders)
    if (Domain != Options.Domain.str())
      Others.insert(Others.end(), Names.begin(), Names.end());
  if (Own != Holders.end())
    Append(Own->second);
  // Those of this domain leave room for some of the others, which have tokens
  // when the load differs between domains.
  Result.resize(std::min(Result.size(), MaxLenders / 2));
  Append(Others);
  std::erase(Result, std::string());
  return Result;
}

void fleet_limits::ask(const base::account_id &Account,
                       const std::string &Lender, std::int64_t Waiting) {
  Members.send(token_wish{Limiter.requestFor(Account, Waiting)}, Lender);
}

void fleet_limits::borrow(const base::account_id &Account, std::int64_t Waiting,
                          base::time_point Now) {
  if (Borrower.isAsking(Account))
    return;
  auto Known = Lenders.find(Account);
  std::vector<std::string> Candidates =
      Known == Lenders.end() ? std::vector<std::string>() : Known->second;
  if (auto Lender = Borrower.start(Account, std::move(Candidates), Now))
    ask(Account, *Lender, Waiting);
}

void fleet_limits::receive(const token_wish &Wish, const std::string &ReplyTo,
                           base::time_point Now) {
  // An answer without tokens lets the borrower ask the next holder at once.
  token_gift Gift{
      Limiter.lend(Wish.Transfer, Now)
          .value_or(accounts::token_transfer{Wish.Transfer.Account, 0})};
  Members.send(Gift, ReplyTo);
}

void fleet_limits::receive(const token_gift &Gift, const std::string &Lender,
                           base::time_point Now) {
  const base::account_id &Account = Gift.Transfer.Account;
  bool HasTokens = Gift.Transfer.Tokens > 0;
  if (HasTokens) {
    Limiter.receive(Gift.Transfer, Now);
    HaveTokensArrived = true;
  }
  if (auto Next = Borrower.answered(Account, Lender, HasTokens, Now))
    ask(Account, *Next, 1);
}

bool fleet_limits::takeNews() {
  bool HasExhausted = Borrower.takeExhausted();
  return std::exchange(HaveTokensArrived, false) || HasExhausted;
}

base::json fleet_limits::dump() const {
  base::json Result = Limiter.dump();
  for (const auto &[Account, Share] : Shares)
    Result[Account.str()]["part_millionths"] = Share.Share;
  return Result;
}

} // namespace radishrelay::sessions::detail
