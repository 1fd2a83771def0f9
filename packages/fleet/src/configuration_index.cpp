#include "radishrelay/fleet/configuration_index.h"

namespace radishrelay::fleet {

namespace {

template <typename Map>
typename Map::mapped_type find(const Map &Entries, std::string_view Name) {
  auto Found = Entries.find(Name);
  return Found == Entries.end() ? typename Map::mapped_type() : Found->second;
}

} // namespace

configuration_index::configuration_index(configuration_pointer Pointer)
    : Document(std::move(Pointer)) {
  for (const route &Route : Document->Routes)
    Routes.emplace(Route.Name, &Route);
  for (const client_account &Account : Document->Accounts) {
    Accounts.emplace(Account.Id.str(), &Account);
    for (const account_key &Key : Account.Keys)
      Keys.emplace(Key.Id, key_entry{&Account, &Key});
  }
  for (const database_group &Group : Document->Groups)
    Groups.emplace(Group.Id.str(), &Group);
  for (const session_key &Key : Document->SessionKeys)
    SessionKeys.emplace(Key.Id, &Key);
}

const route *configuration_index::findRoute(std::string_view Name) const {
  return find(Routes, Name);
}

const client_account *
configuration_index::findAccount(std::string_view Id) const {
  return find(Accounts, Id);
}

configuration_index::key_entry
configuration_index::findKey(std::string_view KeyId) const {
  return find(Keys, KeyId);
}

const database_group *
configuration_index::findGroup(std::string_view Id) const {
  return find(Groups, Id);
}

const session_key *
configuration_index::findSessionKey(std::string_view Id) const {
  return find(SessionKeys, Id);
}

} // namespace radishrelay::fleet
