#ifndef RADISHRELAY_CLI_SRC_DIRECT_ROUTE_CLIENT_H
#define RADISHRELAY_CLI_SRC_DIRECT_ROUTE_CLIENT_H

#include "route_client.h"

#include <libpq-fe.h>

#include <memory>
#include <vector>

namespace radishrelay::cli {

/// Instances of one group that a direct_route_client uses.
struct direct_group {
  /// "IP:PORT" of the primary, for writes and strict reads.
  std::string Primary;
  /// "IP:PORT" of the instance for other reads.
  std::string Replica;

  friend bool operator==(const direct_group &, const direct_group &) = default;
};

/// Runs the statements of the load routes straight on backend servers, without
/// sessions, keys and acknowledgement: the base line of a proxy's latency.
class direct_route_client final : public route_client {
public:
  /// Opens all connections. Throws std::runtime_error when one fails.
  explicit direct_route_client(const std::vector<direct_group> &Groups);

  route_answer call(const route_call &Call) override;

private:
  struct closer {
    void operator()(PGconn *Connection) const { PQfinish(Connection); }
  };
  using connection = std::unique_ptr<PGconn, closer>;
  struct group_connections {
    connection Primary;
    connection Replica;
  };

  static connection open(const std::string &Address);

  std::vector<group_connections> Groups;
};

} // namespace radishrelay::cli

#endif
