#ifndef RADISHRELAY_TABLES_SRC_TABLE_CODEC_H
#define RADISHRELAY_TABLES_SRC_TABLE_CODEC_H

#include "radishrelay/base/listed_host.h"
#include "radishrelay/base/store_request.h"

#include <optional>
#include <string>
#include <vector>

namespace radishrelay::tables::detail {

/// Conversions to and from the JSON documents of the platform's HTTP API. The
/// parsers throw base::json::exception on malformed input.

base::json formatTransaction(const base::store_transaction &Transaction);
base::store_transaction parseTransaction(const base::json &Document);

/// Formats rows with table, key, version and value, as in the response to a
/// table read or to a conflicting transaction.
base::json formatRows(const std::vector<base::table_row> &Rows);
std::vector<base::table_row> parseRows(const base::json &Document);

base::json formatHosts(const std::vector<base::listed_host> &Hosts);
std::vector<base::listed_host> parseHosts(const base::json &Document);

/// Percent-encodes one segment of a URI path.
std::string encodeSegment(const std::string &Text);

} // namespace radishrelay::tables::detail

#endif
