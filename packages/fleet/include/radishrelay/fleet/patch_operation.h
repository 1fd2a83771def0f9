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

/// Adds a client account without keys.
struct create_account {
  base::account_id Account;
  std::int64_t RatePerSecond = 0;
  std::int64_t Burst = 1;

  friend bool operator==(const create_account &,
                         const create_account &) = default;
};

/// Removes a client account; with \p Force also one that has keys.
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

/// Adds a key to a client account.
struct grant_key {
  base::account_id Account;
  account_key Key;

  friend bool operator==(const grant_key &, const grant_key &) = default;
};

/// Removes a key; with \p Force also the account's last one.
struct withdraw_key {
  base::account_id Account;
  std::string Key;
  bool Force = false;

  friend bool operator==(const withdraw_key &, const withdraw_key &) = default;
};

/// Adds a route or replaces the one of that name.
struct set_route {
  route Route;

  friend bool operator==(const set_route &, const set_route &) = default;
};

/// Removes a route.
struct remove_route {
  std::string Name;

  friend bool operator==(const remove_route &, const remove_route &) = default;
};

/// Adds a group or replaces the one of that name.
struct set_group {
  database_group Group;

  friend bool operator==(const set_group &, const set_group &) = default;
};

/// Removes a group.
struct remove_group {
  base::group_id Group;

  friend bool operator==(const remove_group &, const remove_group &) = default;
};

/// Adds a session key and keeps the \p Keep most recent of the others.
///
/// With \p Sign the key goes first and signs. Without, it goes last and is
/// only accepted, so that all hosts know it before a second operation with the
/// same key lets it sign.
struct rotate_session_key {
  session_key Key;
  std::int64_t Keep = 1;
  bool Sign = true;

  friend bool operator==(const rotate_session_key &,
                         const rotate_session_key &) = default;
};

/// Replaces the list of witnesses. The former list stays in force beside the
/// new one until confirm_witnesses.
struct set_witnesses {
  std::vector<base::host_id> Witnesses;

  friend bool operator==(const set_witnesses &,
                         const set_witnesses &) = default;
};

/// Ends a change of witnesses. Submitted by the editor itself once majorities
/// of both lists hold the change; operators cannot submit it.
struct confirm_witnesses {
  friend bool operator==(const confirm_witnesses &,
                         const confirm_witnesses &) = default;
};

/// One step of a patch.
using patch_operation =
    std::variant<create_account, remove_account, set_limit, grant_key,
                 withdraw_key, set_route, remove_route, set_group, remove_group,
                 rotate_session_key, set_witnesses, confirm_witnesses>;

} // namespace radishrelay::fleet

#endif
