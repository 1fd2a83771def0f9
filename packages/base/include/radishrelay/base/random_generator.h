#ifndef RADISHRELAY_BASE_RANDOM_GENERATOR_H
#define RADISHRELAY_BASE_RANDOM_GENERATOR_H

#include <cstdint>
#include <limits>

namespace radishrelay::base {

/// Seeded pseudo-random generator (SplitMix64). The same seed gives the same
/// numbers on every platform, which the distributions of the standard library
/// do not guarantee.
class random_generator {
public:
  using result_type = std::uint64_t;

  explicit random_generator(std::uint64_t Seed) : State(Seed) {}

  static constexpr result_type min() { return 0; }
  static constexpr result_type max() {
    return std::numeric_limits<result_type>::max();
  }

  result_type operator()();

  /// Returns a uniform integer in [0, Bound), or 0 if \p Bound is 0.
  std::uint64_t below(std::uint64_t Bound);

  /// Returns a uniform number in [0, 1).
  double unit();

  /// Returns true with the given probability.
  bool chance(double Probability) { return unit() < Probability; }

  /// Returns an exponentially distributed number with the given mean.
  double exponential(double Mean);

private:
  std::uint64_t State;
};

/// Mixes the bits of \p Value (finalizer of SplitMix64).
std::uint64_t mixBits(std::uint64_t Value);

} // namespace radishrelay::base

#endif
