#ifndef RADISHRELAY_SESSIONS_COORDINATION_PORT_H
#define RADISHRELAY_SESSIONS_COORDINATION_PORT_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/base/store_request.h"
#include "radishrelay/sessions/numbers.h"

#include <cstdint>
#include <string>

namespace radishrelay::sessions {

/// Calls to the platform and datagrams to other hosts. Calls may not call back
/// into the engine.
class coordination_port {
public:
  virtual ~coordination_port() = default;
  /// Reports through session_engine::storeAnswered.
  virtual void execute(store_call_number Call,
                       const base::store_request &Request) = 0;
  /// Orders the platform to make \p Instance the primary; reports through
  /// session_engine::promotionAnswered.
  virtual void promote(store_call_number Call, const base::group_id &Group,
                       const base::instance_id &Instance,
                       std::uint64_t Generation) = 0;
  /// Reads the configuration, waiting up to \p Wait for a newer one; reports
  /// through session_engine::catalogRead.
  virtual void readCatalog(base::duration Wait) = 0;
  /// Reads the list of instances, waiting up to \p Wait for a change; reports
  /// through session_engine::instancesRead.
  virtual void readInstances(base::duration Wait) = 0;
  /// Sends a datagram to another host, which may be lost.
  virtual void sendDatagram(const std::string &Address,
                            const std::string &Bytes) = 0;
};

} // namespace radishrelay::sessions

#endif
