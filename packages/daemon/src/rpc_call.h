#ifndef RADISHRELAY_DAEMON_SRC_RPC_CALL_H
#define RADISHRELAY_DAEMON_SRC_RPC_CALL_H

#include <string>

namespace radishrelay {
namespace daemon {
namespace detail {

/// Result of a JSON-RPC call.
struct rpc_call_result {
  bool Succeeded = false;
  /// JSON text of the result; empty if the call failed.
  std::string Result;
  /// Reason of the failure; empty if the call succeeded.
  std::string Error;
};

/// Computes the authentication code of a request body. A plain function with a
/// context pointer, since peer_authenticator.h is not C++14.
using rpc_authentication_function = std::string (*)(const void *Context,
                                                    const std::string &Body);

/// Calls a procedure of the peer at \p Address ("IP:PORT") and waits for the
/// result. Each calling thread keeps its own connection to the peer open.
///
/// This header and its source must remain C++14: the client headers of
/// libjsonrpccpp use dynamic exception specifications, which C++17 removed.
rpc_call_result
callProcedure(const std::string &Address, const std::string &Method,
              const std::string &ParametersText, long TimeoutMilliseconds,
              rpc_authentication_function ComputeCode, const void *Context);

} // namespace detail
} // namespace daemon
} // namespace radishrelay

#endif
