#ifndef RADISHRELAY_CLI_SRC_ROUTE_CALL_H
#define RADISHRELAY_CLI_SRC_ROUTE_CALL_H

#include "planned_request.h"

#include <string>

namespace radishrelay::cli {

/// One request of the load in the form that is sent.
struct route_call {
  std::size_t Host = 0;
  std::size_t Group = 0;
  request_kind Kind = request_kind::Read;
  /// Key of the client account.
  std::string Key;
  /// Session token; empty in a new session.
  std::string Token;
  /// Value that the answer returns; the row's id of a write.
  std::string Id;
  /// Write: name of the session. Read: id of the row that is looked up.
  std::string Subject;

  friend bool operator==(const route_call &, const route_call &) = default;
};

} // namespace radishrelay::cli

#endif
