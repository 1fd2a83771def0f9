#ifndef RADISHRELAY_BASE_LATENCY_SUMMARY_H
#define RADISHRELAY_BASE_LATENCY_SUMMARY_H

#include "radishrelay/base/json.h"
#include "radishrelay/base/monotonic_clock.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <sstream>

namespace radishrelay::base {

/// Running summary of latencies in constant space: count, mean, maximum and
/// estimated quantiles, in microseconds.
class latency_summary {
public:
  latency_summary();

  void add(duration Latency);

  [[nodiscard]] std::size_t count() const;
  /// Microseconds; 0 when empty.
  [[nodiscard]] double mean() const;
  /// Microseconds; 0 when empty.
  [[nodiscard]] double maximum() const;
  /// Returns the estimated quantile in microseconds, or the maximum while there
  /// are too few samples. \p Probability is one of 0.5, 0.9, 0.99 and 0.999.
  [[nodiscard]] double quantile(double Probability) const;

  [[nodiscard]] json dump() const;

private:
  using statistics = boost::accumulators::stats<
      boost::accumulators::tag::count, boost::accumulators::tag::mean,
      boost::accumulators::tag::max,
      boost::accumulators::tag::extended_p_square_quantile>;
  boost::accumulators::accumulator_set<double, statistics> Accumulator;
};

} // namespace radishrelay::base

#endif
