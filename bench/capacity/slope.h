#ifndef RADISHRELAY_BENCH_CAPACITY_SLOPE_H
#define RADISHRELAY_BENCH_CAPACITY_SLOPE_H

#include "radishrelay/base/json.h"

#include <string>
#include <vector>

namespace radishrelay::bench {

/// A measured value at one size.
struct sized_value {
  double Size = 0;
  double Value = 0;
};

/// A cost as a function of a size, with its least-squares line.
class slope {
public:
  /// \p Name says what was measured, \p SizeName what the size counts.
  slope(std::string Name, std::string Unit, std::string SizeName);

  void add(double Size, double Value);

  /// Change of the value per unit of size.
  [[nodiscard]] double perUnit() const;
  /// Value of the line at size 0.
  [[nodiscard]] double atZero() const;

  void print() const;
  [[nodiscard]] base::json json() const;

private:
  std::string Name;
  std::string Unit;
  std::string SizeName;
  std::vector<sized_value> Points;
};

using slopes = std::vector<slope>;

} // namespace radishrelay::bench

#endif
