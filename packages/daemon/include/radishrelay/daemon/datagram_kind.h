#ifndef RADISHRELAY_DAEMON_DATAGRAM_KIND_H
#define RADISHRELAY_DAEMON_DATAGRAM_KIND_H

namespace radishrelay::daemon {

/// Type of a datagram between hosts, sent as its first byte.
enum class datagram_kind : char {
  /// A packet of the membership protocol.
  Membership = 'M',
  /// A message of the account limiter, encoded as MessagePack.
  Limiter = 'L',
  /// A vote that a suspected primary should be replaced, encoded as
  /// MessagePack.
  Vote = 'S',
};

} // namespace radishrelay::daemon

#endif
