#ifndef RADISHRELAY_CLI_SRC_ARRIVAL_GENERATOR_H
#define RADISHRELAY_CLI_SRC_ARRIVAL_GENERATOR_H

#include "planned_request.h"

#include "radishrelay/base/random_generator.h"

#include <optional>
#include <vector>

namespace radishrelay::cli {

/// Parameters of an arrival_generator.
struct arrival_options {
  std::uint64_t Seed = 1;
  base::duration Length{};
  /// Requests per second of each client account.
  std::vector<double> RatePerSecond;
  std::size_t SessionsPerAccount = 1;
  std::size_t Groups = 1;
  std::size_t Hosts = 1;
  /// Probabilities in [0, 1].
  double Reads = 0;
  double StrictAmongReads = 0;
  double KeyedAmongWrites = 0;

  friend bool operator==(const arrival_options &,
                         const arrival_options &) = default;
};

/// Seeded open-loop arrivals: one Poisson process per client account, merged in
/// the order of time. A session always uses the same group, and each of its
/// requests goes to a random host.
class arrival_generator {
public:
  explicit arrival_generator(const arrival_options &Options);

  /// The next arrival, or nothing after the end of the run.
  std::optional<planned_request> next();

private:
  request_kind chooseKind();

  arrival_options Options;
  base::random_generator Random;
  /// Next arrival of each account in seconds; infinite for a rate of 0.
  std::vector<double> NextSeconds;
  std::uint64_t LastNumber = 0;
};

} // namespace radishrelay::cli

#endif
