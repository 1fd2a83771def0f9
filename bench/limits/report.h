#ifndef RADISHRELAY_BENCH_LIMITS_REPORT_H
#define RADISHRELAY_BENCH_LIMITS_REPORT_H

#include "measurement.h"

#include <iosfwd>
#include <string>

namespace radishrelay::bench_limits {

/// The figures of one strategy in one deployment.
base::json summarize(const std::string &Strategy, const deployment &Deployment,
                     const measurement &Measured);

/// Prints summaries as an aligned table.
void printTable(std::ostream &Out, const base::json &Summaries);

} // namespace radishrelay::bench_limits

#endif
