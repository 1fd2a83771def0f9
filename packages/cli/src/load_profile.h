#ifndef RADISHRELAY_CLI_SRC_LOAD_PROFILE_H
#define RADISHRELAY_CLI_SRC_LOAD_PROFILE_H

#include "load_account.h"
#include "score_weights.h"

#include <string>
#include <string_view>
#include <vector>

namespace radishrelay::cli {

/// A user's deployment in small, with the load of its client accounts.
struct load_profile {
  std::string Name;
  std::vector<std::string> Groups;
  std::vector<std::string> FailureDomains;
  std::int64_t Slots = 0;
  std::int64_t Connections = 0;
  /// Age that its age-tolerant reads accept.
  std::int64_t MaxAgeMilliseconds = 0;
  std::vector<load_account> Accounts;
  score_weights Weights;

  friend bool operator==(const load_profile &, const load_profile &) = default;
};

/// All profiles.
const std::vector<load_profile> &loadProfiles();

/// The profile of this name, or nullptr.
const load_profile *findLoadProfile(std::string_view Name);

} // namespace radishrelay::cli

#endif
