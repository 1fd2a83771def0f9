#ifndef RADISHRELAY_CLI_SRC_ROUTE_ANSWER_H
#define RADISHRELAY_CLI_SRC_ROUTE_ANSWER_H

#include "radishrelay/groups/ran_state.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace radishrelay::cli {

/// Code of an answer when the host accepted no connection.
constexpr std::string_view ConnectionRefused = "connection_refused";

/// What came back for a route_call.
struct route_answer {
  /// HTTP status; 0 when no answer came.
  int Status = 0;
  /// Code of the problem details or of the failed connection.
  std::string Code;
  groups::ran_state Ran = groups::ran_state::Unknown;
  std::string ServedBy;
  std::string Token;
  std::string Echo;
  /// Rows found by a read.
  std::int64_t Found = 0;

  friend bool operator==(const route_answer &, const route_answer &) = default;
};

/// Fills the answer from the body of a response with \p Answer.Status.
void readAnswerBody(const std::string &Body, route_answer &Answer);

} // namespace radishrelay::cli

#endif
