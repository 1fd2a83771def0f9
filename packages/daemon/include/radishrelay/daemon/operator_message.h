#ifndef RADISHRELAY_DAEMON_OPERATOR_MESSAGE_H
#define RADISHRELAY_DAEMON_OPERATOR_MESSAGE_H

#include <string>

namespace radishrelay::daemon {

/// Operations of the operators' API.
enum class operator_action {
  ReadConfiguration,
  PatchConfiguration,
  ReadHistory,
  Drain,
  DumpState,
  ReadAudit,
  ReadMetrics,
  CheckLive,
  CheckReady,
};

/// A request to the operators' API, after the token was checked where the
/// operation requires one.
struct operator_request {
  operator_action Action = operator_action::CheckLive;
  /// Name of the operator whose token was sent, from the settings; empty if the
  /// request had no valid token.
  std::string Operator;
  /// Version from the If-Match header, without quotes.
  std::string ExpectedVersion;
  std::string Query;
  std::string Body;
};

struct operator_reply {
  int Status = 200;
  std::string ContentType = "application/json";
  /// Value of the ETag header without quotes; no header is sent if empty.
  std::string Version;
  std::string Body;
};

} // namespace radishrelay::daemon

#endif
