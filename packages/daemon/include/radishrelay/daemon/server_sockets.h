#ifndef RADISHRELAY_DAEMON_SERVER_SOCKETS_H
#define RADISHRELAY_DAEMON_SERVER_SOCKETS_H

#include <Poco/Net/ServerSocket.h>

#include <string>

namespace radishrelay::daemon {

/// Opens a listening socket on "IP:PORT"; with a certificate (PEM file with the
/// chain) and a private key it speaks TLS. Throws Poco::Exception.
Poco::Net::ServerSocket openServerSocket(const std::string &Address,
                                         const std::string &Certificate,
                                         const std::string &PrivateKey);

} // namespace radishrelay::daemon

#endif
