#ifndef RADISHRELAY_DAEMON_DATAGRAM_KIND_H
#define RADISHRELAY_DAEMON_DATAGRAM_KIND_H

namespace radishrelay::daemon {

/// First byte of a datagram between hosts.
enum class datagram_kind : char {
  /// A packet of the membership.
  Membership = 'M',
  /// A message of the account limiter, as MessagePack.
  Limiter = 'L',
  /// A suspected primary, as MessagePack.
  Suspicion = 'S',
};

} // namespace radishrelay::daemon

#endif
