#include "radishrelay/base/latency_summary.h"

#include <array>

namespace radishrelay::base {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 4> Probabilities{0.5, 0.9, 0.99, 0.999};

} // namespace

latency_summary::latency_summary()
    : Accumulator(accumulators::tag::extended_p_square_quantile::probabilities =
                      Probabilities) {}

void latency_summary::add(duration Latency) {
  Accumulator(static_cast<double>(Latency.count()));
}

std::size_t latency_summary::count() const {
  return accumulators::count(Accumulator);
}

double latency_summary::mean() const {
  return count() == 0 ? 0.0 : accumulators::mean(Accumulator);
}

double latency_summary::maximum() const {
  return count() == 0 ? 0.0 : accumulators::max(Accumulator);
}

double latency_summary::quantile(double Probability) const {
  // The P-square estimator needs one sample per marker before its first
  // estimate.
  constexpr std::size_t MarkerCount = 2 * Probabilities.size() + 3;
  if (count() < MarkerCount)
    return maximum();
  return accumulators::quantile(
      Accumulator, accumulators::quantile_probability = Probability);
}

json latency_summary::dump() const {
  json Dump = json::object();
  Dump["count"] = count();
  Dump["mean_us"] = mean();
  Dump["p50_us"] = quantile(0.5);
  Dump["p90_us"] = quantile(0.9);
  Dump["p99_us"] = quantile(0.99);
  Dump["p999_us"] = quantile(0.999);
  Dump["max_us"] = maximum();
  return Dump;
}

} // namespace radishrelay::base
