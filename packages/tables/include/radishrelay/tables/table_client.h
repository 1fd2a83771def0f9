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
/// list. Keeps one connection open. Used by one thread at a time.
class table_client {
public:
  /// \p Address is "IP:port". It is resolved at the first request, so that a
  /// malformed address appears as a failure.
  explicit table_client(std::string Address);
  ~table_client();
  table_client(table_client &&) noexcept;
  table_client &operator=(table_client &&) noexcept;

  /// Executes \p Request. NotDone when no byte of it was sent or the platform
  /// rejected it, Unknown when the answer was lost or \p Deadline passed.
  base::store_answer execute(const base::store_request &Request,
                             base::time_point Deadline);

  /// Reads the platform's list of live and leaving hosts.
  base::expected<std::vector<base::listed_host>>
  readHosts(base::time_point Deadline);

  /// Reads an object; empty when there is none of that name.
  base::expected<std::optional<std::string>>
  getObject(const std::string &Name, base::time_point Deadline);

  /// Replaces an object. Returns an empty failure on success. Putting the same
  /// content again is harmless, so a lost answer is reported as a failure.
  base::failure putObject(const std::string &Name, const std::string &Content,
                          base::time_point Deadline);

private:
  std::unique_ptr<http_connection> Connection;
};

} // namespace radishrelay::tables

#endif
