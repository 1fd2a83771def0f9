#include "radishrelay/base/random_generator.h"

#include <cmath>

namespace radishrelay::base {

std::uint64_t mixBits(std::uint64_t Value) {
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31);
}

random_generator::result_type random_generator::operator()() {
  State += 0x9e3779b97f4a7c15ULL;
  return mixBits(State);
}

std::uint64_t random_generator::below(std::uint64_t Bound) {
  __extension__ using wide = unsigned __int128;
  return static_cast<std::uint64_t>((wide((*this)()) * wide(Bound)) >> 64);
}

double random_generator::unit() {
  constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
  return static_cast<double>((*this)() >> 11) * Scale;
}

double random_generator::exponential(double Mean) {
  return -Mean * std::log1p(-unit());
}

} // namespace radishrelay::base
