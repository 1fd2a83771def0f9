#ifndef RADISHRELAY_TABLES_SRC_TABLE_CODEC_H
#define RADISHRELAY_TABLES_SRC_TABLE_CODEC_H

#include "radishrelay/base/listed_host.h"
#include "radishrelay/base/store_request.h"

#include <optional>
#include <string>
#include <vector>

namespace radishrelay::tables::detail {

/// JSON forms of the platform's HTTP API. Each parser throws
/// base::json::exception on malformed input.

base::json formatTransaction(const base::store_transaction &Transaction);
base::store_transaction parseTransaction(const base::json &Document);

/// Rows with table and key, as a table read and a conflict return them.
base::json formatRows(const std::vector<base::table_row> &Rows);
std::vector<base::table_row> parseRows(const base::json &Document);

base::json formatHosts(const std::vector<base::listed_host> &Hosts);
std::vector<base::listed_host> parseHosts(const base::json &Document);

/// Percent-encodes one segment of a path.
std::string encodeSegment(const std::string &Text);

} // namespace radishrelay::tables::detail

#endif
