#include "radishrelay/sessions/detail/domain_contact.h"

#include <algorithm>

namespace radishrelay::sessions::detail {

namespace {

/// Interval at which another host is asked: some round trips.
constexpr base::duration RequestInterval = std::chrono::milliseconds(15);
/// Time without a reply after which the hosts outside count as silent.
constexpr base::duration SilencePeriod = std::chrono::milliseconds(60);
/// Time for which a contact is asked for that nobody needs any more.
constexpr base::duration RequestLifetime = std::chrono::milliseconds(200);
/// Time for which the reply to a request counts.
constexpr base::duration ReplyLifetime = std::chrono::seconds(2);

} // namespace

void domain_contact::request(base::time_point Time, base::time_point Now) {
  NeededSince = std::max(NeededSince, Time);
  if (isReachedSince(NeededSince))
    return;
  if (!AskedSince) {
    AskedSince = Now;
    ask(Now);
  }
}

void domain_contact::ask(base::time_point Now) {
  NextRequestAt = Now + RequestInterval;
  for (const auto &[Domain, Hosts] : Outside)
    Members.send(contact_request{Now}, Hosts[Index % Hosts.size()]);
  ++Index;
}

void domain_contact::updateOutside() {
  if (HostsVersion == Members.hostsVersion())
    return;
  HostsVersion = Members.hostsVersion();
  Outside.clear();
  for (const fleet_members::peer &Other : Members.others())
    if (Other.Domain != Options.Domain)
      Outside[Other.Domain].push_back(Other.Address);
}

void domain_contact::receive(const contact_reply &Reply, base::time_point Now) {
  if (Reply.AskedAt > Now || Now > Reply.AskedAt + ReplyLifetime)
    return;
  ReachedAt = std::max(ReachedAt, Reply.AskedAt);
  if (!AskedSince)
    return;
  AskedSince.reset();
  // Commits that were acknowledged after that request need another one.
  if (!isReachedSince(NeededSince))
    request(NeededSince, Now);
}

void domain_contact::advance(base::time_point Now) {
  updateOutside();
  if (!AskedSince || Now < NextRequestAt)
    return;
  if (Now >= NeededSince + RequestLifetime)
    AskedSince.reset();
  else
    ask(Now);
}

base::time_point domain_contact::nextWake() const {
  return AskedSince ? NextRequestAt : base::time_point::max();
}

bool domain_contact::isReachedSince(base::time_point Time) const {
  return ReachedAt >= Time || Outside.empty();
}

bool domain_contact::isSilent(base::time_point Now) const {
  return AskedSince && Now >= *AskedSince + SilencePeriod;
}

} // namespace radishrelay::sessions::detail
