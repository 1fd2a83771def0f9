#ifndef RADISHRELAY_GROUPS_TRANSACTION_HANDLE_CODEC_H
#define RADISHRELAY_GROUPS_TRANSACTION_HANDLE_CODEC_H

#include "radishrelay/base/expected.h"
#include "radishrelay/base/json.h"
#include "radishrelay/groups/signed_envelope.h"
#include "radishrelay/groups/transaction_id.h"

#include <string>
#include <string_view>
#include <vector>

namespace radishrelay::groups {

/// Encodes and verifies transaction handles: opaque texts that identify a
/// transaction for the client, and from which any host can tell which host runs
/// the transaction.
class transaction_handle_codec {
public:
  explicit transaction_handle_codec(std::vector<signing_key> Keys);

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
