#ifndef RADISHRELAY_GROUPS_REQUEST_STATEMENTS_H
#define RADISHRELAY_GROUPS_REQUEST_STATEMENTS_H

#include "radishrelay/groups/keyed_request.h"
#include "radishrelay/groups/sql_statement.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace radishrelay::groups {

/// Retention of the records of keyed writes. A request that is repeated with
/// the same key after this time may run a second time.
inline constexpr std::chrono::hours RequestRetention{24 * 7};

/// SQL statements of keyed writes, most of them on the table
/// radishrelay_requests, which holds one record per idempotency key. They are
/// valid for PostgreSQL and SQLite.
namespace request_statements {

sql_statement createTable();
sql_statement begin();
sql_statement commit();
sql_statement rollback();
sql_statement groupStatus();
/// Claims the key of \p Request by inserting a record with an empty answer.
/// Fails with SQLSTATE 23505 (unique violation) when the key already exists.
sql_statement insert(const keyed_request &Request);
sql_statement recordAnswer(const keyed_request &Request,
                           const std::string &Answer);
/// Selects the record of the key; columns route, body_digest, answer.
sql_statement select(const keyed_request &Request);
/// Deletes the records whose retention has expired at \p NowMs, in milliseconds
/// since the Unix epoch.
sql_statement purge(std::int64_t NowMs);

} // namespace request_statements

} // namespace radishrelay::groups

#endif
