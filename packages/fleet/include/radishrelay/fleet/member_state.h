#ifndef RADISHRELAY_FLEET_MEMBER_STATE_H
#define RADISHRELAY_FLEET_MEMBER_STATE_H

namespace radishrelay::fleet {

/// State of a host in the membership view of another one. Within one
/// incarnation, a later enumerator overrides an earlier one.
enum class member_state {
  Live,
  /// Did not answer a probe. Gets no new ownership but keeps what it owns.
  Suspected,
  /// Announced its shutdown, or is listed by the platform as leaving. Gets no
  /// new work.
  Leaving,
  /// Stopped, or was suspected for membership_options::SuspicionTimeout.
  Gone,
};

/// Name of \p State in dumps.
const char *toString(member_state State);

} // namespace radishrelay::fleet

#endif
