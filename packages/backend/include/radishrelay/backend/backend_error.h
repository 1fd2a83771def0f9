#ifndef RADISHRELAY_BACKEND_BACKEND_ERROR_H
#define RADISHRELAY_BACKEND_BACKEND_ERROR_H

#include <system_error>

namespace radishrelay::backend {

/// Why a run or a connection ended.
enum class backend_error {
  /// The deadline passed; equivalent to std::errc::timed_out.
  TimedOut = 1,
  /// The connection could not be established.
  ConnectFailed,
  /// The backend server closed the connection or broke the protocol.
  ConnectionLost,
  /// A close_connection command or the end of the thread closed it.
  Closed,
  /// The backend server reported an error for a statement.
  StatementFailed,
  /// The connection already runs statements.
  ConnectionBusy,
  /// The connection is not open.
  NotOpen,
  /// A statement cannot be expressed in the protocol, for example because a
  /// parameter contains a zero byte.
  InvalidStatement,
};

const std::error_category &backendCategory();

// The standard library finds the function by this name.
// NOLINTNEXTLINE(readability-identifier-naming)
std::error_code make_error_code(backend_error Error);

} // namespace radishrelay::backend

template <>
struct std::is_error_code_enum<radishrelay::backend::backend_error>
    : std::true_type {};

#endif
