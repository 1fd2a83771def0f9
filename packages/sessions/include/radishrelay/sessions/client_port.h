#ifndef RADISHRELAY_SESSIONS_CLIENT_PORT_H
#define RADISHRELAY_SESSIONS_CLIENT_PORT_H

#include "radishrelay/sessions/client_answer.h"
#include "radishrelay/sessions/numbers.h"

namespace radishrelay::sessions {

/// Sends the answers of a session_engine to clients. Implementations must not
/// call the engine from within these functions.
class client_port {
public:
  virtual ~client_port() = default;
  virtual void accept(session_number Session) = 0;
  /// Rejects the session and then closes the client's connection.
  virtual void reject(session_number Session, refusal Reason,
                      const std::string &Text) = 0;
  virtual void answer(session_number Session, const client_answer &Answer) = 0;
  /// Closes the client's connection.
  virtual void close(session_number Session) = 0;
};

} // namespace radishrelay::sessions

#endif
