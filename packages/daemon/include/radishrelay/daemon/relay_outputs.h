#ifndef RADISHRELAY_DAEMON_RELAY_OUTPUTS_H
#define RADISHRELAY_DAEMON_RELAY_OUTPUTS_H

#include "radishrelay/backend/backend_command.h"
#include "radishrelay/base/log.h"
#include "radishrelay/daemon/relay_event.h"

#include <string>
#include <string_view>

namespace radishrelay::daemon {

/// Receives the actions of the decision thread. Implemented by the process and
/// by test doubles.
class relay_outputs {
public:
  virtual ~relay_outputs() = default;

  [[nodiscard]] virtual base::time_point clock() const = 0;

  virtual void answerCaller(http_answer &&Answer) = 0;
  /// Returns false when the backend thread accepts no more commands; no event
  /// follows.
  virtual bool submitToBackend(backend::backend_command &&Command) = 0;
  /// Returns false when the queue of the request's channel is full; no event
  /// follows.
  virtual bool submitToPlatform(platform_request &&Request) = 0;
  /// Returns false when too many calls wait; no event follows.
  virtual bool callPeer(peer_call &&Call) = 0;
  virtual void sendDatagram(const std::string &Address,
                            const std::string &Message) = 0;
  virtual void replyToPeer(reply_id Reply, base::json &&Result) = 0;
  virtual void replyToOperator(reply_id Reply, operator_reply &&Result) = 0;
  /// Gives the listener the configuration that it uses from now on.
  virtual void publishView(const service_view_ptr &View) = 0;
  virtual void log(base::log_level Level, std::string_view Event,
                   const base::json &Fields) = 0;
  /// Called when the graceful shutdown has ended and the process may exit.
  virtual void finished() = 0;
};

} // namespace radishrelay::daemon

#endif
