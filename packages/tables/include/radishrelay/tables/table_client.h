#ifndef RADISHRELAY_TABLES_TABLE_CLIENT_H
#define RADISHRELAY_TABLES_TABLE_CLIENT_H

#include "radishrelay/base/expected.h"
#include "radishrelay/base/listed_host.h"
#include "radishrelay/base/store_answer.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace radishrelay::tables {

class http_connection;

/// Blocking HTTP client of the platform's table service, object store and host
/// list. Keeps one connection open. Not thread-safe.
class table_client {
public:
  /// \p Address is "IP:port". It is parsed at the first request, so that a
  /// malformed address is reported as a failure of that request.
  explicit table_client(std::string Address);
  ~table_client();
  table_client(table_client &&) noexcept;
  table_client &operator=(table_client &&) noexcept;

  /// Executes \p Request. The outcome is NotDone if no byte was sent or the
  /// platform rejected the request with a 4xx status, and Unknown if no valid
  /// response arrived before \p Deadline.
  base::store_answer execute(const base::store_request &Request,
                             base::time_point Deadline);

  /// Reads the platform's list of live and leaving hosts.
  base::expected<std::vector<base::listed_host>>
  readHosts(base::time_point Deadline);

  /// Reads an object. The optional is empty if there is no object \p Name.
  base::expected<std::optional<std::string>>
  getObject(const std::string &Name, base::time_point Deadline);

  /// Creates or replaces an object. Returns an empty failure on success. A lost
  /// response is also reported as a failure, since repeating the same put is
  /// harmless.
  base::failure putObject(const std::string &Name, const std::string &Content,
                          base::time_point Deadline);

private:
  std::unique_ptr<http_connection> Connection;
};

} // namespace radishrelay::tables

#endif
