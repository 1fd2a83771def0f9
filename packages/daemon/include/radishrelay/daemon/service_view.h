#ifndef RADISHRELAY_DAEMON_SERVICE_VIEW_H
#define RADISHRELAY_DAEMON_SERVICE_VIEW_H

#include "radishrelay/accounts/key_verifier.h"
#include "radishrelay/base/expected.h"
#include "radishrelay/fleet/configuration_index.h"
#include "radishrelay/groups/session_token_codec.h"
#include "radishrelay/groups/transaction_handle_codec.h"

#include <memory>

namespace radishrelay::daemon {

/// The parts of one configuration version that serving requests needs: routes,
/// key verifier, and codecs for session tokens and transaction handles.
/// Immutable; shared by the listener thread and the decision thread.
struct service_view {
  fleet::configuration_index Configuration;
  accounts::key_verifier Keys;
  groups::session_token_codec Sessions;
  groups::transaction_handle_codec Transactions;
};

using service_view_ptr = std::shared_ptr<const service_view>;

/// Builds the view of a configuration. Fails if one of its key records is
/// malformed.
base::expected<service_view_ptr>
makeServiceView(const fleet::configuration_pointer &Document);

} // namespace radishrelay::daemon

#endif
