#ifndef RADISHRELAY_DAEMON_SERVICE_VIEW_H
#define RADISHRELAY_DAEMON_SERVICE_VIEW_H

#include "radishrelay/accounts/key_verifier.h"
#include "radishrelay/base/expected.h"
#include "radishrelay/fleet/configuration_index.h"
#include "radishrelay/groups/session_token_codec.h"
#include "radishrelay/groups/transaction_handle_codec.h"

#include <memory>

namespace radishrelay::daemon {

/// What one version of the configuration means for serving requests: routes,
/// keys and session keys. Immutable; shared by the listener and the decision
/// thread.
struct service_view {
  fleet::configuration_index Configuration;
  accounts::key_verifier Keys;
  groups::session_token_codec Sessions;
  groups::transaction_handle_codec Transactions;
};

using service_view_ptr = std::shared_ptr<const service_view>;

/// Builds the view of a configuration. Fails when a key record in it is
/// malformed.
base::expected<service_view_ptr>
makeServiceView(const fleet::configuration_pointer &Document);

} // namespace radishrelay::daemon

#endif
