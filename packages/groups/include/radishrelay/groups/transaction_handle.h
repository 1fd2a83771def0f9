#ifndef RADISHRELAY_GROUPS_TRANSACTION_HANDLE_H
#define RADISHRELAY_GROUPS_TRANSACTION_HANDLE_H

#include "radishrelay/base/expected.h"
#include "radishrelay/base/json.h"
#include "radishrelay/groups/signed_envelope.h"
#include "radishrelay/groups/transaction_id.h"

#include <string>
#include <string_view>
#include <vector>

namespace radishrelay::groups {

/// Encodes and verifies the opaque handle of a transaction, so that a request
/// finds the transaction's host from any other host.
class transaction_handle {
public:
  explicit transaction_handle(std::vector<signing_key> Keys);

  /// Fails with session_error NoKey or TooLarge.
  [[nodiscard]] base::expected<std::string>
  encode(const transaction_id &Id) const;

  /// Fails with session_error Malformed, UnknownKey or Forged.
  [[nodiscard]] base::expected<transaction_id>
  decode(std::string_view Text) const;

  [[nodiscard]] base::json dump() const;

private:
  signed_envelope Envelope;
};

} // namespace radishrelay::groups

#endif
