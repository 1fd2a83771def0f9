#ifndef RADISHRELAY_BASE_METRICS_REGISTRY_H
#define RADISHRELAY_BASE_METRICS_REGISTRY_H

#include "radishrelay/base/json.h"
#include "radishrelay/base/latency_summary.h"

#include <compare>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace radishrelay::base {

/// Name of a metric with one optional label, for example
/// radishrelay_requests_total{account="inspectors"}.
struct metric_name {
  std::string Name;
  std::string LabelName{};
  std::string LabelValue{};

  friend auto operator<=>(const metric_name &, const metric_name &) = default;
};

/// Counters, gauges and latency summaries of a process. Thread-safe.
class metrics_registry {
public:
  void increment(const metric_name &Name, std::uint64_t Amount = 1);
  void setGauge(const metric_name &Name, double Value);
  void observe(const metric_name &Name, duration Latency);

  /// Returns the metrics in the Prometheus text format, with latencies in
  /// seconds.
  [[nodiscard]] std::string prometheusText() const;
  [[nodiscard]] json dump() const;

private:
  mutable std::mutex Mutex;
  std::map<metric_name, std::uint64_t> Counters;
  std::map<metric_name, double> Gauges;
  std::map<metric_name, latency_summary> Summaries;
};

} // namespace radishrelay::base

#endif
