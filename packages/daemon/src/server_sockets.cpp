#include "radishrelay/daemon/server_sockets.h"

#include <Poco/Net/Context.h>
#include <Poco/Net/SecureServerSocket.h>
#include <Poco/Net/SocketAddress.h>

namespace radishrelay::daemon {

namespace {

constexpr int Backlog = 1024;
constexpr int VerificationDepth = 9;

Poco::Net::Context::Ptr serverContext(const std::string &Certificate,
                                      const std::string &PrivateKey) {
  return new Poco::Net::Context(
      Poco::Net::Context::TLS_SERVER_USE, PrivateKey, Certificate, "",
      Poco::Net::Context::VERIFY_NONE, VerificationDepth);
}

} // namespace

Poco::Net::ServerSocket openServerSocket(const std::string &Address,
                                         const std::string &Certificate,
                                         const std::string &PrivateKey) {
  Poco::Net::SocketAddress BindAddress(Address);
  if (Certificate.empty())
    return Poco::Net::ServerSocket(BindAddress, Backlog);
  return Poco::Net::SecureServerSocket(BindAddress, Backlog,
                                       serverContext(Certificate, PrivateKey));
}

} // namespace radishrelay::daemon
