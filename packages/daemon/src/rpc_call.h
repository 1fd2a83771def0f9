#ifndef RADISHRELAY_DAEMON_SRC_RPC_CALL_H
#define RADISHRELAY_DAEMON_SRC_RPC_CALL_H

#include <string>

namespace radishrelay {
namespace daemon {
namespace detail {

/// Result of a JSON-RPC call as text.
struct rpc_call_result {
  bool Succeeded = false;
  /// The JSON text of the result.
  std::string Result;
  /// Why the call failed.
  std::string Error;
};

/// Computes the authentication code of a request's body.
using rpc_seal_function = std::string (*)(const void *Context,
                                          const std::string &Body);

/// Calls a procedure of the peer at \p Address ("IP:PORT") and waits for the
/// result. The connection to the peer is kept open per calling thread.
///
/// This header and its source are C++14: the client headers of libjsonrpccpp
/// use dynamic exception specifications, which later standards removed.
rpc_call_result callProcedure(const std::string &Address,
                              const std::string &Method,
                              const std::string &ParametersText,
                              long TimeoutMilliseconds, rpc_seal_function Seal,
                              const void *Context);

} // namespace detail
} // namespace daemon
} // namespace radishrelay

#endif
