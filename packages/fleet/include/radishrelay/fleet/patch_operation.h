#ifndef RADISHRELAY_FLEET_PATCH_OPERATION_H
#define RADISHRELAY_FLEET_PATCH_OPERATION_H

#include "radishrelay/fleet/client_account.h"
#include "radishrelay/fleet/database_group.h"
#include "radishrelay/fleet/route.h"
#include "radishrelay/fleet/session_key.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace radishrelay::fleet {

/// Adds a client account that has no keys yet.
struct create_account {
  base::account_id Account;
  std::int64_t RatePerSecond = 0;
  std::int64_t Burst = 1;

  friend bool operator==(const create_account &,
                         const create_account &) = default;
};

/// Removes a client account. An account with keys is removed only with
/// \p Force.
struct remove_account {
  base::account_id Account;
  bool Force = false;

  friend bool operator==(const remove_account &,
                         const remove_account &) = default;
};

/// Sets the rate and burst of a client account.
struct set_limit {
  base::account_id Account;
  std::int64_t RatePerSecond = 0;
  std::int64_t Burst = 1;

  friend bool operator==(const set_limit &, const set_limit &) = default;
};

struct grant_key {
  base::account_id Account;
  account_key Key;

  friend bool operator==(const grant_key &, const grant_key &) = default;
};

/// Removes a key. The last key of an account is removed only with \p Force.
struct withdraw_key {
  base::account_id Account;
  std::string Key;
  bool Force = false;

  friend bool operator==(const withdraw_key &, const withdraw_key &) = default;
};

/// Adds a route or replaces the route of the same name.
struct set_route {
  route Route;

  friend bool operator==(const set_route &, const set_route &) = default;
};

struct remove_route {
  std::string Name;

  friend bool operator==(const remove_route &, const remove_route &) = default;
};

/// Adds a database group or replaces the group of the same name.
struct set_group {
  database_group Group;

  friend bool operator==(const set_group &, const set_group &) = default;
};

struct remove_group {
  base::group_id Group;

  friend bool operator==(const remove_group &, const remove_group &) = default;
};

/// Adds a session key and keeps the first \p Keep of the other keys, the most
/// recent signing keys.
///
/// With \p Sign the key is placed first and signs new tokens. Without \p Sign
/// it is placed last and is only accepted, so that all hosts know the key
/// before a second operation with the same key makes it the signing key.
struct rotate_session_key {
  session_key Key;
  std::int64_t Keep = 1;
  bool Sign = true;

  friend bool operator==(const rotate_session_key &,
                         const rotate_session_key &) = default;
};

/// Replaces the list of witnesses. Until confirm_witnesses, majorities of both
/// the previous and the new list are required.
struct set_witnesses {
  std::vector<base::host_id> Witnesses;

  friend bool operator==(const set_witnesses &,
                         const set_witnesses &) = default;
};

/// Completes a change of witnesses. The editor submits it once majorities of
/// both lists hold the new configuration; operators cannot submit it.
struct confirm_witnesses {
  friend bool operator==(const confirm_witnesses &,
                         const confirm_witnesses &) = default;
};

/// A single operation of a configuration_patch.
using patch_operation =
    std::variant<create_account, remove_account, set_limit, grant_key,
                 withdraw_key, set_route, remove_route, set_group, remove_group,
                 rotate_session_key, set_witnesses, confirm_witnesses>;

} // namespace radishrelay::fleet

#endif
