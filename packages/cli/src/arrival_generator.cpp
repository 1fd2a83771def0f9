#include "arrival_generator.h"

#include <algorithm>
#include <limits>

namespace radishrelay::cli {

arrival_generator::arrival_generator(const arrival_options &Options)
    : Options(Options), Random(Options.Seed) {
  for (double Rate : Options.RatePerSecond)
    NextSeconds.push_back(Rate > 0 ? Random.exponential(1 / Rate)
                                   : std::numeric_limits<double>::infinity());
}

request_kind arrival_generator::chooseKind() {
  if (Random.chance(Options.Reads))
    return Random.chance(Options.StrictAmongReads) ? request_kind::StrictRead
                                                   : request_kind::Read;
  return Random.chance(Options.KeyedAmongWrites) ? request_kind::KeyedWrite
                                                 : request_kind::Write;
}

std::optional<planned_request> arrival_generator::next() {
  auto First = std::min_element(NextSeconds.begin(), NextSeconds.end());
  double End = std::chrono::duration<double>(Options.Length).count();
  if (First == NextSeconds.end() || *First >= End)
    return std::nullopt;
  planned_request Request;
  Request.Number = ++LastNumber;
  Request.At = std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double>(*First));
  Request.Account = static_cast<std::size_t>(First - NextSeconds.begin());
  Request.Session = Request.Account * Options.SessionsPerAccount +
                    Random.below(Options.SessionsPerAccount);
  Request.Group = Request.Session % Options.Groups;
  Request.Host = Random.below(Options.Hosts);
  Request.Kind = chooseKind();
  *First += Random.exponential(1 / Options.RatePerSecond[Request.Account]);
  return Request;
}

} // namespace radishrelay::cli
