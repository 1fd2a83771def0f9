#ifndef RADISHRELAY_SESSIONS_HTTP_EXCHANGE_H
#define RADISHRELAY_SESSIONS_HTTP_EXCHANGE_H

#include <map>
#include <string>

namespace radishrelay::sessions {

/// A request of a test.
struct exchange_request {
  /// "IP:PORT".
  std::string Address;
  std::string Method = "POST";
  std::string Path;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// Its answer; Status is 0 when the connection failed.
struct exchange_answer {
  int Status = 0;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// Sends the request on a connection of its own.
exchange_answer exchange(const exchange_request &Request);

} // namespace radishrelay::sessions

#endif
