#ifndef RADISHRELAY_BASE_IDENTIFIER_H
#define RADISHRELAY_BASE_IDENTIFIER_H

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace radishrelay::base {

/// A string identifier whose type depends on \p Tag, so that the compiler
/// rejects an identifier of the wrong kind.
template <typename Tag> class identifier {
public:
  identifier() = default;
  explicit identifier(std::string Value) : Value(std::move(Value)) {}

  [[nodiscard]] const std::string &str() const { return Value; }
  [[nodiscard]] bool empty() const { return Value.empty(); }

  friend auto operator<=>(const identifier &, const identifier &) = default;
  friend std::ostream &operator<<(std::ostream &Out, const identifier &Id) {
    return Out << Id.Value;
  }

private:
  std::string Value;
};

/// Identifies a machine that runs the daemon.
using host_id = identifier<struct host_tag>;
/// Identifies a set of hosts that a network partition can separate from the
/// others.
using failure_domain_id = identifier<struct failure_domain_tag>;
/// Identifies a region: failure domains close to each other.
using region_id = identifier<struct region_tag>;
/// Identifies a client account: a tenant with its own client keys, rate and
/// burst.
using account_id = identifier<struct account_tag>;
/// Identifies a database group: a replicated database.
using group_id = identifier<struct group_tag>;
/// Identifies a backend server: one instance of a database group.
using instance_id = identifier<struct instance_tag>;

} // namespace radishrelay::base

template <typename Tag> struct std::hash<radishrelay::base::identifier<Tag>> {
  std::size_t
  operator()(const radishrelay::base::identifier<Tag> &Id) const noexcept {
    return std::hash<std::string>()(Id.str());
  }
};

#endif
