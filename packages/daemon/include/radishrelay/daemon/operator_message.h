#ifndef RADISHRELAY_DAEMON_OPERATOR_MESSAGE_H
#define RADISHRELAY_DAEMON_OPERATOR_MESSAGE_H

#include <string>

namespace radishrelay::daemon {

/// What an operator may ask of a host.
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

/// A request of an operator whose token was verified.
struct operator_request {
  operator_action Action = operator_action::CheckLive;
  /// Name under which the operator's token stands in the settings.
  std::string Operator;
  /// Version from the If-Match header, without quotes.
  std::string ExpectedVersion;
  std::string Query;
  std::string Body;
};

/// Answer to an operator.
struct operator_reply {
  int Status = 200;
  std::string ContentType = "application/json";
  /// Value of the ETag header without quotes; empty leaves it out.
  std::string Version;
  std::string Body;
};

} // namespace radishrelay::daemon

#endif
