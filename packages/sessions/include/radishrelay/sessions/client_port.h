#ifndef RADISHRELAY_SESSIONS_CLIENT_PORT_H
#define RADISHRELAY_SESSIONS_CLIENT_PORT_H

#include "radishrelay/sessions/client_answer.h"
#include "radishrelay/sessions/numbers.h"

namespace radishrelay::sessions {

/// Sends to clients. Calls may not call back into the engine.
class client_port {
public:
  virtual ~client_port() = default;
  /// Accepts the session.
  virtual void accept(session_number Session) = 0;
  /// Rejects the session; the connection closes after it.
  virtual void reject(session_number Session, refusal Reason,
                      const std::string &Text) = 0;
  virtual void answer(session_number Session, const client_answer &Answer) = 0;
  virtual void close(session_number Session) = 0;
};

} // namespace radishrelay::sessions

#endif
