#include "radishrelay/base/host_port.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <string>

namespace radishrelay::base {

bool isServerAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  std::string_view Host = Text.substr(0, Colon);
  std::string_view PortText = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const char *End = PortText.data() + PortText.size();
  auto [Last, Error] = std::from_chars(PortText.data(), End, Port);
  if (Error != std::errc() || Last != End || Port == 0)
    return false;
  bool HasBrackets = Host.starts_with('[') && Host.ends_with(']');
  if (HasBrackets)
    Host = Host.substr(1, Host.size() - 2);
  std::array<unsigned char, sizeof(in6_addr)> Address{};
  return inet_pton(HasBrackets ? AF_INET6 : AF_INET, std::string(Host).c_str(),
                   Address.data()) == 1;
}

} // namespace radishrelay::base
