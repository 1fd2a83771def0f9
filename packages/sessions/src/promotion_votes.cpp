#include "radishrelay/sessions/detail/promotion_votes.h"

namespace radishrelay::sessions::detail {

namespace {

constexpr char KeySeparator = '/';
/// A vote needs at least this part of all hosts.
constexpr std::size_t HostsPerVote = 4;

} // namespace

base::row_key promotion_votes::ownKey() const {
  return {"votes", Group.str() + KeySeparator + Options.Host.str()};
}

base::json promotion_votes::ownVote(groups::term_number Term) const {
  base::json Value = base::json::object();
  Value["term"] = Term;
  Value["domain"] = Options.Domain.str();
  return Value;
}

void promotion_votes::read(const std::vector<base::table_row> &Rows,
                           base::time_point Now) {
  std::map<std::string, vote> Current;
  std::string Prefix = Group.str() + KeySeparator;
  for (const base::table_row &Row : Rows) {
    if (!Row.Key.Key.starts_with(Prefix) || !Row.Value.is_object())
      continue;
    vote Vote{Row.Version, Now, Row.Value.value("term", groups::term_number{0}),
              Row.Value.value("domain", std::string())};
    auto Known = Votes.find(Row.Key.Key);
    if (Known != Votes.end() && Known->second.Version == Row.Version)
      Vote.SeenAt = Known->second.SeenAt;
    Current.emplace(Row.Key.Key, std::move(Vote));
  }
  Votes = std::move(Current);
}

bool promotion_votes::isAgreed(groups::term_number Term, std::size_t Hosts,
                               std::size_t Domains,
                               base::time_point Now) const {
  std::set<std::string> AgreeingDomains;
  std::size_t Count = 0;
  for (const auto &[Key, Vote] : Votes) {
    if (Vote.Term != Term || Now > Vote.SeenAt + Options.VoteLifetime)
      continue;
    ++Count;
    AgreeingDomains.insert(Vote.Domain);
  }
  bool AreEnoughDomains =
      AgreeingDomains.size() >= std::min<std::size_t>(2, Domains);
  return AreEnoughDomains && Count * HostsPerVote >= Hosts;
}

} // namespace radishrelay::sessions::detail
