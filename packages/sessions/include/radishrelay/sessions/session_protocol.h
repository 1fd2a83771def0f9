#ifndef RADISHRELAY_SESSIONS_SESSION_PROTOCOL_H
#define RADISHRELAY_SESSIONS_SESSION_PROTOCOL_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/sessions/backend_reply.h"
#include "radishrelay/sessions/backend_request.h"
#include "radishrelay/sessions/client_answer.h"
#include "radishrelay/sessions/client_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace radishrelay::sessions {

/// Encodes and decodes the line-based text protocol that clients and instances
/// speak. Lines end with CR LF. The decoders get lines without it; the encoders
/// append complete lines to \p Out.
class session_protocol {
public:
  virtual ~session_protocol() = default;

  [[nodiscard]] virtual client_message
  decodeClientLine(std::string_view Line) const = 0;
  virtual void encodeAccepted(std::string &Out) const = 0;
  virtual void encodeRejected(refusal Reason, const std::string &Text,
                              std::string &Out) const = 0;
  virtual void encode(const client_answer &Answer, std::string &Out) const = 0;

  /// Encodes the first message on a connection to \p Instance. An empty
  /// \p Account stands for anonymous clients.
  virtual void encodeStart(const base::group_id &Group,
                           const base::account_id &Account,
                           const base::instance_id &Instance,
                           std::string &Out) const = 0;
  virtual void encode(const backend_request &Request,
                      std::string &Out) const = 0;
  /// Decodes the answer to the first message. Returns why the instance has not
  /// accepted the connection, refusal::Other for a malformed line; empty if it
  /// has.
  [[nodiscard]] virtual std::optional<refusal>
  decodeStartAnswer(std::string_view Line) const = 0;
  /// Adds one line from an instance to \p Reply, the answer to a request with
  /// \p Verb. Returns true if the reply is complete. A malformed line completes
  /// the reply with refusal::Other and backend_reply::IsUnreadable.
  virtual bool decodeBackendLine(std::string_view Line, backend_verb Verb,
                                 backend_reply &Reply) const = 0;
};

} // namespace radishrelay::sessions

#endif
