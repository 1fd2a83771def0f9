#ifndef RADISHRELAY_SESSIONS_BACKEND_PORT_H
#define RADISHRELAY_SESSIONS_BACKEND_PORT_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/sessions/backend_request.h"
#include "radishrelay/sessions/instance_listing.h"
#include "radishrelay/sessions/numbers.h"

namespace radishrelay::sessions {

/// Opens and uses connections to instances. Calls may not call back into the
/// engine.
class backend_port {
public:
  virtual ~backend_port() = default;
  /// Opens a connection for an account; reports through
  /// session_engine::backendOpened or backendLost.
  virtual void open(backend_number Connection, const instance_listing &Instance,
                    const base::account_id &Account) = 0;
  virtual void send(backend_number Connection,
                    const backend_request &Request) = 0;
  virtual void close(backend_number Connection) = 0;
};

} // namespace radishrelay::sessions

#endif
