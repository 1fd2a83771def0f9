#ifndef RADISHRELAY_BASE_FAILURE_H
#define RADISHRELAY_BASE_FAILURE_H

#include <ostream>
#include <string>
#include <system_error>

namespace radishrelay::base {

/// An error together with the operation and the peer at which it occurred.
struct failure {
  std::error_code Code;
  /// The operation that failed, for example "read table row".
  std::string Step;
  /// The remote address, or the file name with the line number; may be empty.
  std::string Peer;
  /// Further information for operators; never contains a key or a token.
  std::string Detail;

  /// Returns true if there is an error.
  explicit operator bool() const { return static_cast<bool>(Code); }

  friend bool operator==(const failure &, const failure &) = default;
};

/// Returns "step: message (peer): detail", omitting empty parts.
std::string toString(const failure &Failure);

std::ostream &operator<<(std::ostream &Out, const failure &Failure);

} // namespace radishrelay::base

#endif
