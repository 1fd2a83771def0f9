#ifndef RADISHRELAY_SESSIONS_DETAIL_DOMAIN_CONTACT_H
#define RADISHRELAY_SESSIONS_DETAIL_DOMAIN_CONTACT_H

#include "radishrelay/sessions/detail/fleet_members.h"
#include "radishrelay/sessions/detail/peer_message.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace radishrelay::sessions::detail {

/// Knows up to when this host could reach hosts of other failure domains.
///
/// While the failure domain of a primary is cut off, an instance that has
/// started inside it may confirm commits, and no host outside can ask for them.
/// A host of that domain therefore answers a commit under its lease only after
/// a host outside has answered it since.
class domain_contact {
public:
  domain_contact(const engine_options &Options, fleet_members &Members)
      : Options(Options), Members(Members) {}

  /// Requests a contact since \p Time.
  void request(base::time_point Time, base::time_point Now);
  void receive(const contact_reply &Reply, base::time_point Now);
  /// Repeats a request that has no reply, with other hosts.
  void advance(base::time_point Now);
  [[nodiscard]] base::time_point nextWake() const;
  /// Whether a host outside has answered a request sent at \p Time or later.
  /// Always true if there are no hosts in other failure domains.
  [[nodiscard]] bool isReachedSince(base::time_point Time) const;
  /// Whether requests have had no reply for so long that the hosts outside are
  /// cut off or down.
  [[nodiscard]] bool isSilent(base::time_point Now) const;

private:
  void ask(base::time_point Now);
  void updateOutside();

  engine_options Options;
  fleet_members &Members;
  /// Addresses of the hosts of the other failure domains, as of HostsVersion.
  std::map<base::failure_domain_id, std::vector<std::string>> Outside;
  std::uint64_t HostsVersion = 0;
  /// The contact that is needed, and since when it has been asked for.
  base::time_point NeededSince;
  std::optional<base::time_point> AskedSince;
  base::time_point NextRequestAt;
  /// When the last request was sent that a host has answered.
  base::time_point ReachedAt;
  std::size_t Index = 0;
};

} // namespace radishrelay::sessions::detail

#endif
