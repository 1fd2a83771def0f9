#ifndef RADISHRELAY_GROUPS_REQUEST_STATEMENTS_H
#define RADISHRELAY_GROUPS_REQUEST_STATEMENTS_H

#include "radishrelay/groups/keyed_request.h"
#include "radishrelay/groups/planned_statement.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace radishrelay::groups {

/// A key that is used again after this time may run a second time.
inline constexpr std::chrono::hours RequestRetention{24 * 7};

/// Statements on the table radishrelay_requests, valid for PostgreSQL and for
/// SQLite.
namespace request_statements {

planned_statement createTable();
planned_statement begin();
planned_statement commit();
planned_statement rollback();
planned_statement groupStatus();
/// Claims the key of \p Request with an empty answer; fails with SQLSTATE
/// 23505 when the key is taken.
planned_statement insert(const keyed_request &Request);
planned_statement recordAnswer(const keyed_request &Request,
                               const std::string &Answer);
/// Columns route, body_digest, answer.
planned_statement select(const keyed_request &Request);
/// Removes the records whose retention had passed at \p NowMs.
planned_statement purge(std::int64_t NowMs);

} // namespace request_statements

} // namespace radishrelay::groups

#endif
