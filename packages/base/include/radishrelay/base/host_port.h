#ifndef RADISHRELAY_BASE_HOST_PORT_H
#define RADISHRELAY_BASE_HOST_PORT_H

#include <string_view>

namespace radishrelay::base {

/// Returns whether \p Text is the address of a server: "IP:PORT" with an IPv4
/// address or an IPv6 address in brackets, and a port from 1 to 65535. Any
/// other text may cause a name look-up, which blocks.
bool isServerAddress(std::string_view Text);

} // namespace radishrelay::base

#endif
