#ifndef RADISHRELAY_FLEET_CONFIGURATION_INDEX_H
#define RADISHRELAY_FLEET_CONFIGURATION_INDEX_H

#include "radishrelay/fleet/configuration_document.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace radishrelay::fleet {

using configuration_pointer = std::shared_ptr<const configuration_document>;

/// Look-up tables by name for one document, built once per version. Immutable
/// and therefore safe to share between threads.
class configuration_index {
public:
  /// A key and the account that it belongs to; both are null if there is no
  /// such key.
  struct key_entry {
    const client_account *Account = nullptr;
    const account_key *Key = nullptr;
  };

  explicit configuration_index(configuration_pointer Document);

  [[nodiscard]] const configuration_document &document() const {
    return *Document;
  }
  [[nodiscard]] configuration_version version() const {
    return Document->Version;
  }

  /// Each look-up returns null, or an entry of null pointers, if the name is
  /// unknown. The results remain valid for the lifetime of the index.
  [[nodiscard]] const route *findRoute(std::string_view Name) const;
  [[nodiscard]] const client_account *findAccount(std::string_view Id) const;
  [[nodiscard]] key_entry findKey(std::string_view KeyId) const;
  [[nodiscard]] const database_group *findGroup(std::string_view Id) const;
  [[nodiscard]] const session_key *findSessionKey(std::string_view Id) const;

private:
  template <typename Entry>
  using by_name = std::unordered_map<std::string_view, Entry>;

  configuration_pointer Document;
  by_name<const route *> Routes;
  by_name<const client_account *> Accounts;
  by_name<key_entry> Keys;
  by_name<const database_group *> Groups;
  by_name<const session_key *> SessionKeys;
};

} // namespace radishrelay::fleet

#endif
