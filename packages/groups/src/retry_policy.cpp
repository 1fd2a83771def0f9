#include "radishrelay/groups/retry_policy.h"

#include <algorithm>
#include <array>

namespace radishrelay::groups {

namespace {

/// Classes and codes of SQLSTATE after which the statement may have been
/// committed: connection exception, system error, configuration file error,
/// internal error, shutdown by an operator, and statement completion unknown.
constexpr std::array<std::string_view, 6> UncertainPrefixes{
    "08", "58", "F0", "XX", "57P", "40003"};

/// SQLSTATEs: serialization failure, deadlock detected, lock not available.
constexpr std::array<std::string_view, 3> TransientStates{"40001", "40P01",
                                                          "55P03"};

/// SQLSTATEs: object not in prerequisite state (a replaced primary refuses to
/// commit) and read-only transaction (a replica refuses to write).
constexpr std::array<std::string_view, 2> NotPrimaryStates{"55000", "25006"};

template <std::size_t Count>
bool contains(const std::array<std::string_view, Count> &States,
              std::string_view SqlState) {
  return std::find(States.begin(), States.end(), SqlState) != States.end();
}

} // namespace

bool isDefiniteRollback(std::string_view SqlState) {
  auto Matches = [&](std::string_view Prefix) {
    return SqlState.starts_with(Prefix);
  };
  return !SqlState.empty() && std::none_of(UncertainPrefixes.begin(),
                                           UncertainPrefixes.end(), Matches);
}

bool isTransientConflict(std::string_view SqlState) {
  return contains(TransientStates, SqlState);
}

bool isNotPrimary(std::string_view SqlState) {
  return contains(NotPrimaryStates, SqlState);
}

ran_state ranAfter(const attempt_end &End) {
  if (End.Succeeded)
    return ran_state::Yes;
  if (!End.MayHaveReached || isDefiniteRollback(End.SqlState))
    return ran_state::No;
  return ran_state::Unknown;
}

bool mayRetry(const request_traits &Traits, const attempt_end &End) {
  if (End.Succeeded)
    return false;
  if (!End.MayHaveReached)
    return true;
  // An error of the statement itself would occur again.
  bool IsPermanent = isDefiniteRollback(End.SqlState) &&
                     !isTransientConflict(End.SqlState) &&
                     !isNotPrimary(End.SqlState);
  return !IsPermanent && (Traits.IsIdempotent || Traits.HasKey);
}

} // namespace radishrelay::groups
