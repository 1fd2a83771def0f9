#include "radishrelay/sessions/detail/fleet_members.h"

#include "radishrelay/base/rendezvous.h"

#include <algorithm>

namespace radishrelay::sessions::detail {

namespace {

constexpr const char *MembersTable = "members";
/// A renewal that has no answer is asked for again.
constexpr base::duration RenewalTimeout = std::chrono::seconds(2);
/// After the first start the table is read again soon, since all hosts start
/// together.
constexpr base::duration EarlyInterval = std::chrono::milliseconds(1500);
/// Hosts that may promote in a group. Enough that some are left when a failure
/// domain is cut off and half of the hosts are down.
constexpr std::size_t MaxPromoters = 8;
/// Time that a promoter leaves to those before it in the group's order: a claim
/// on a slow store.
constexpr base::duration PromotionStagger = std::chrono::milliseconds(250);

} // namespace

fleet_members::fleet_members(const engine_options &Options, store_calls &Store,
                             coordination_port &Port, event_log &Log)
    : Options(Options), Store(Store), Port(Port), Log(Log),
      Random(Options.RandomSeed) {}

void fleet_members::setCatalog(const catalog_ptr &Catalog,
                               base::time_point Now) {
  Limits = Catalog->Limits;
  Limiter.configure(Limits, Part, Now);
}

std::size_t fleet_members::size() const {
  bool HasSelf = Members.contains(Options.Host.str());
  return Members.size() + (HasSelf ? 0 : 1);
}

fleet_size fleet_members::sizeFor(const base::group_id &Group) const {
  std::set<std::string> Domains{Options.Domain.str()};
  std::vector<std::string> Names{Options.Host.str()};
  for (const auto &[Name, Member] : Members) {
    Domains.insert(Member.Domain);
    if (Name != Options.Host.str())
      Names.push_back(Name);
  }
  fleet_size Result;
  Result.Hosts = size();
  Result.Domains = Domains.size();
  Result.IsPromoter = false;
  std::vector<std::string> Order = base::rendezvousOrder(Group.str(), Names);
  Order.resize(std::min(Order.size(), MaxPromoters));
  for (std::size_t Rank = 0; Rank < Order.size(); ++Rank) {
    if (Order[Rank] == Options.Host.str()) {
      Result.IsPromoter = true;
      Result.PromotionDelay =
          PromotionStagger * static_cast<std::int64_t>(Rank);
    } else {
      Result.Promoters.push_back(Members.at(Order[Rank]).Address);
    }
  }
  return Result;
}

void fleet_members::advance(base::time_point Now) {
  if (IsRenewing && Now >= RenewalSentAt + RenewalTimeout)
    IsRenewing = false;
  if (!IsRenewing && Now >= NextRenewalAt)
    renew(Now);
  updateShare(Now);
  askForTokens(Now);
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
  auto Renew = [this, Transaction, Now] {
    Store.execute(Transaction, [this, Now](const auto &Answer, auto At) {
      if (Answer.Outcome == base::store_outcome::Done)
        RenewedAt = std::max(RenewedAt.value_or(Now), Now);
      onRenewed(Answer, At);
    });
  };
  if (HasRead) {
    Renew();
    return;
  }
  // The first read tells whether the fleet already counts this host.
  Store.execute(base::read_table{MembersTable},
                [this, Renew](const auto &Answer, auto At) {
                  onRead(Answer, At);
                  if (!HasRead)
                    return;
                  bool IsCounted = Members.contains(Options.Host.str());
                  ShareFrom = IsCounted ? At : At + Options.NewMemberDelay;
                  Renew();
                });
}

void fleet_members::onRenewed(const base::store_answer &Answer,
                              base::time_point Now) {
  if (Answer.Outcome != base::store_outcome::Done) {
    IsRenewing = false;
    return;
  }
  if (Now < ShareFrom)
    NextRenewalAt = std::min(NextRenewalAt, Now + EarlyInterval);
  Store.execute(base::read_table{MembersTable},
                [this](const auto &Read, auto At) {
                  onRead(Read, At);
                  removeLapsed(At);
                });
}

void fleet_members::onRead(const base::store_answer &Answer,
                           base::time_point Now) {
  IsRenewing = false;
  if (Answer.Outcome != base::store_outcome::Done)
    return;
  HasRead = true;
  std::map<std::string, member> Current;
  for (const base::table_row &Row : Answer.Rows) {
    if (!Row.Value.is_object())
      continue;
    member Member{Row.Version, Now, Row.Value.value("domain", std::string()),
                  Row.Value.value("address", std::string())};
    auto Known = Members.find(Row.Key.Key);
    if (Known != Members.end() && Known->second.Version == Row.Version)
      Member.SeenAt = Known->second.SeenAt;
    Current.emplace(Row.Key.Key, std::move(Member));
  }
  if (Current.size() != Members.size())
    Log.belief("fleet size changed",
               {{"hosts", Current.size()}, {"before", Members.size()}});
  Members = std::move(Current);
  updateShare(Now);
}

void fleet_members::removeLapsed(base::time_point Now) {
  for (const auto &[Name, Member] : Members) {
    if (Now < Member.SeenAt + Options.MemberLifetime)
      continue;
    base::store_transaction Transaction;
    base::row_key Key{MembersTable, Name};
    Transaction.Conditions.push_back({Key, Member.Version});
    Transaction.Writes.push_back({Key, nullptr});
    // Another host may have removed it; the next read tells.
    Store.execute(Transaction, [](const auto &, auto) {});
    return;
  }
}

void fleet_members::updateShare(base::time_point Now) {
  bool HoldsShare =
      RenewedAt && Now < *RenewedAt + Options.ShareLifetime && Now >= ShareFrom;
  accounts::millionths NewPart =
      HoldsShare ? accounts::WholeInMillionths /
                       static_cast<accounts::millionths>(size())
                 : 0;
  if (NewPart == Part)
    return;
  Part = NewPart;
  Limiter.configure(Limits, Part, Now);
  Log.belief("share of limits changed", {{"millionths", Part}});
}

bool fleet_members::admit(const base::account_id &Account,
                          base::time_point Now) {
  bool IsAdmitted = Limiter.take(Account, Now);
  askForTokens(Now);
  return IsAdmitted;
}

const std::string *fleet_members::nextLender() {
  std::size_t Count = Members.size();
  for (std::size_t Try = 0; Try < Count; ++Try) {
    auto Member = std::next(Members.begin(),
                            static_cast<std::ptrdiff_t>(++LenderIndex % Count));
    if (Member->first != Options.Host.str() && !Member->second.Address.empty())
      return &Member->second.Address;
  }
  return nullptr;
}

void fleet_members::askForTokens(base::time_point Now) {
  for (const accounts::token_transfer &Wish : Limiter.wishes(Now))
    if (const std::string *Lender = nextLender())
      send(token_wish{Wish}, *Lender);
}

void fleet_members::send(const peer_message &Message,
                         const std::string &Address) {
  Port.sendDatagram(Address, encodeDatagram({Options.PeerAddress, Message}));
}

std::vector<std::string> fleet_members::neighbours() const {
  std::vector<std::string> Result;
  for (const auto &[Name, Member] : Members)
    if (Member.Domain == Options.Domain.str() && Name != Options.Host.str() &&
        !Member.Address.empty())
      Result.push_back(Member.Address);
  return Result;
}

void fleet_members::receive(const token_wish &Wish, const std::string &ReplyTo,
                            base::time_point Now) {
  if (auto Gift = Limiter.lend(Wish.Transfer, Now))
    send(token_gift{*Gift}, ReplyTo);
}

void fleet_members::receive(const token_gift &Gift, base::time_point Now) {
  Limiter.receive(Gift.Transfer, Now);
  DidTokensArrive = true;
}

bool fleet_members::takeTokensArrived() {
  return std::exchange(DidTokensArrive, false);
}

base::json fleet_members::dump() const {
  return {
      {"hosts", size()}, {"part_millionths", Part}, {"limits", Limiter.dump()}};
}

} // namespace radishrelay::sessions::detail
