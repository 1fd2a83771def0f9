#ifndef RADISHRELAY_SESSIONS_BACKEND_PORT_H
#define RADISHRELAY_SESSIONS_BACKEND_PORT_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/sessions/backend_request.h"
#include "radishrelay/sessions/instance_listing.h"
#include "radishrelay/sessions/numbers.h"

namespace radishrelay::sessions {

/// Opens, uses and closes connections to instances on behalf of a
/// session_engine. Implementations must not call the engine from within these
/// functions.
class backend_port {
public:
  virtual ~backend_port() = default;
  /// Starts to open a connection to \p Instance that is authenticated as
  /// \p Account. The result is reported later by
  /// session_engine::backendOpened or session_engine::backendLost.
  virtual void open(backend_number Connection, const instance_listing &Instance,
                    const base::account_id &Account) = 0;
  virtual void send(backend_number Connection,
                    const backend_request &Request) = 0;
  virtual void close(backend_number Connection) = 0;
  /// Whether bytes that were not reported as part of an answer, or the end of
  /// the connection, have arrived and were not reported yet.
  [[nodiscard]] virtual bool
  hasUnreadInput(backend_number Connection) const = 0;
};

} // namespace radishrelay::sessions

#endif
