#ifndef RADISHRELAY_SESSIONS_COORDINATION_PORT_H
#define RADISHRELAY_SESSIONS_COORDINATION_PORT_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/base/store_request.h"
#include "radishrelay/sessions/numbers.h"

#include <cstdint>
#include <string>

namespace radishrelay::sessions {

/// Outgoing calls of the session engine to the platform, and datagrams to other
/// hosts. Implementations must not call back into the engine from these
/// functions; results arrive later through the session_engine functions named
/// below.
class coordination_port {
public:
  virtual ~coordination_port() = default;
  /// Executes \p Request on the table store; the result is passed to
  /// session_engine::storeAnswered.
  virtual void execute(store_call_number Call,
                       const base::store_request &Request) = 0;
  /// Orders the platform to make \p Instance the primary of \p Group, unless
  /// \p Deadline has passed before the order is sent; the result is passed to
  /// session_engine::promotionAnswered.
  virtual void promote(store_call_number Call, const base::group_id &Group,
                       const base::instance_id &Instance,
                       std::uint64_t Generation, base::time_point Deadline) = 0;
  /// Reads the configuration, waiting up to \p Wait for a newer one; the result
  /// is passed to session_engine::catalogRead.
  virtual void readCatalog(base::duration Wait) = 0;
  /// Reads the list of instances, waiting up to \p Wait for a change; the
  /// result is passed to session_engine::instancesRead.
  virtual void readInstances(base::duration Wait) = 0;
  /// Sends \p Bytes to another host as one datagram. Delivery is not
  /// guaranteed.
  virtual void sendDatagram(const std::string &Address,
                            const std::string &Bytes) = 0;
};

} // namespace radishrelay::sessions

#endif
