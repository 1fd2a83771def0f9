#ifndef RADISHRELAY_BASE_FAILURE_H
#define RADISHRELAY_BASE_FAILURE_H

#include <ostream>
#include <string>
#include <system_error>

namespace radishrelay::base {

/// An error with the step and the peer at which it arose.
struct failure {
  std::error_code Code;
  /// What was being done, for example "read table row".
  std::string Step;
  /// The other side: an address, a file with its line, or empty.
  std::string Peer;
  /// Details for the reader; never holds a key or a token.
  std::string Detail;

  /// True when there is an error.
  explicit operator bool() const { return static_cast<bool>(Code); }

  friend bool operator==(const failure &, const failure &) = default;
};

/// Returns "step: message (peer): detail", leaving out empty parts.
std::string toString(const failure &Failure);

std::ostream &operator<<(std::ostream &Out, const failure &Failure);

} // namespace radishrelay::base

#endif
