#ifndef RADISHRELAY_FLEET_MEMBER_STATE_H
#define RADISHRELAY_FLEET_MEMBER_STATE_H

namespace radishrelay::fleet {

/// What a host believes of another one, in the order of precedence within one
/// incarnation.
enum class member_state {
  Live,
  /// Did not answer; gets no new ownership and loses nothing that it holds.
  Suspected,
  /// Announced that it stops, or listed as leaving; gets no new work.
  Leaving,
  /// Stopped, or suspected for too long.
  Gone,
};

/// Name of \p State in dumps.
const char *toString(member_state State);

} // namespace radishrelay::fleet

#endif
