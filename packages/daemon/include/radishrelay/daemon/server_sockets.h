#ifndef RADISHRELAY_DAEMON_SERVER_SOCKETS_H
#define RADISHRELAY_DAEMON_SERVER_SOCKETS_H

#include <Poco/Net/ServerSocket.h>

#include <string>

namespace radishrelay::daemon {

/// Opens a listening socket on "IP:PORT". It uses TLS if \p Certificate (a PEM
/// file with the chain) and \p PrivateKey (a file name) are not empty. Throws
/// Poco::Exception.
Poco::Net::ServerSocket openServerSocket(const std::string &Address,
                                         const std::string &Certificate,
                                         const std::string &PrivateKey);

} // namespace radishrelay::daemon

#endif
