#ifndef RADISHRELAY_BENCH_READS_REPORT_H
#define RADISHRELAY_BENCH_READS_REPORT_H

#include "radishrelay/base/json.h"

#include <ostream>
#include <string>

namespace radishrelay::bench {

/// Prints \p Rows, an array of objects with the same members, as a table with
/// one line per object.
void printTable(std::ostream &Out, const std::string &Title,
                const base::json &Rows);

} // namespace radishrelay::bench

#endif
