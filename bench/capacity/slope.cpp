#include "slope.h"

#include <cstdio>
#include <utility>

namespace radishrelay::bench {

slope::slope(std::string Name, std::string Unit, std::string SizeName)
    : Name(std::move(Name)), Unit(std::move(Unit)),
      SizeName(std::move(SizeName)) {}

void slope::add(double Size, double Value) { Points.push_back({Size, Value}); }

double slope::perUnit() const {
  double Count = static_cast<double>(Points.size());
  double Sizes = 0;
  double Values = 0;
  double Products = 0;
  double Squares = 0;
  for (const sized_value &Point : Points) {
    Sizes += Point.Size;
    Values += Point.Value;
    Products += Point.Size * Point.Value;
    Squares += Point.Size * Point.Size;
  }
  double Spread = Count * Squares - Sizes * Sizes;
  return Spread == 0 ? 0 : (Count * Products - Sizes * Values) / Spread;
}

double slope::atZero() const {
  double Sizes = 0;
  double Values = 0;
  for (const sized_value &Point : Points) {
    Sizes += Point.Size;
    Values += Point.Value;
  }
  double Count = static_cast<double>(Points.size());
  return Count == 0 ? 0 : (Values - perUnit() * Sizes) / Count;
}

void slope::print() const {
  std::printf("%s [%s] by %s\n ", Name.c_str(), Unit.c_str(), SizeName.c_str());
  for (const sized_value &Point : Points)
    std::printf("  %.0f: %.3f", Point.Size, Point.Value);
  std::printf("\n  slope %.6f, at zero %.3f\n", perUnit(), atZero());
  std::fflush(stdout);
}

base::json slope::json() const {
  base::json Values = base::json::array();
  for (const sized_value &Point : Points)
    Values.push_back({{"size", Point.Size}, {"value", Point.Value}});
  return {{"name", Name},     {"unit", Unit},       {"size", SizeName},
          {"points", Values}, {"slope", perUnit()}, {"at_zero", atZero()}};
}

} // namespace radishrelay::bench
