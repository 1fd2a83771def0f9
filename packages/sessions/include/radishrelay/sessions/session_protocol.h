#ifndef RADISHRELAY_SESSIONS_SESSION_PROTOCOL_H
#define RADISHRELAY_SESSIONS_SESSION_PROTOCOL_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/sessions/backend_reply.h"
#include "radishrelay/sessions/backend_request.h"
#include "radishrelay/sessions/client_answer.h"
#include "radishrelay/sessions/client_message.h"

#include <string>
#include <string_view>

namespace radishrelay::sessions {

/// A protocol of text lines, each ended by CR LF, which the codec does not see.
class session_protocol {
public:
  virtual ~session_protocol() = default;

  [[nodiscard]] virtual client_message
  decodeClientLine(std::string_view Line) const = 0;
  virtual void encodeAccepted(std::string &Out) const = 0;
  virtual void encodeRejected(refusal Reason, const std::string &Text,
                              std::string &Out) const = 0;
  virtual void encode(const client_answer &Answer, std::string &Out) const = 0;

  virtual void encodeStart(const base::group_id &Group,
                           const base::account_id &Account,
                           const base::instance_id &Instance,
                           std::string &Out) const = 0;
  virtual void encode(const backend_request &Request,
                      std::string &Out) const = 0;
  /// Adds one line of an instance to \p Reply; true when the reply is whole.
  /// An unreadable line makes the reply whole with refusal::Other.
  virtual bool decodeBackendLine(std::string_view Line, backend_verb Verb,
                                 backend_reply &Reply) const = 0;
};

} // namespace radishrelay::sessions

#endif
