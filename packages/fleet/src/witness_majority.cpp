#include "radishrelay/fleet/witness_majority.h"

#include <algorithm>

namespace radishrelay::fleet {

namespace {

/// Returns the latest time point such that a majority of \p Witnesses was asked
/// at or after it, or nothing without a majority.
std::optional<base::time_point>
listAskedAt(const std::vector<base::host_id> &Witnesses,
            const asked_at_function &AskedAt) {
  std::vector<base::time_point> Times;
  for (const base::host_id &Host : Witnesses)
    if (auto Time = AskedAt(Host))
      Times.push_back(*Time);
  std::size_t Majority = Witnesses.size() / 2 + 1;
  if (Times.size() < Majority)
    return std::nullopt;
  std::sort(Times.rbegin(), Times.rend());
  return Times[Majority - 1];
}

bool contains(const std::vector<base::host_id> &Hosts,
              const base::host_id &Host) {
  return std::find(Hosts.begin(), Hosts.end(), Host) != Hosts.end();
}

} // namespace

std::optional<base::time_point>
majorityAskedAt(const configuration_document &Document,
                const asked_at_function &AskedAt) {
  auto Current = listAskedAt(Document.Witnesses, AskedAt);
  if (Document.PreviousWitnesses.empty() || !Current)
    return Current;
  auto Previous = listAskedAt(Document.PreviousWitnesses, AskedAt);
  if (!Previous)
    return std::nullopt;
  return std::min(*Current, *Previous);
}

bool isWitness(const configuration_document &Document,
               const base::host_id &Host) {
  return contains(Document.Witnesses, Host) ||
         contains(Document.PreviousWitnesses, Host);
}

std::vector<base::host_id>
allWitnesses(const configuration_document &Document) {
  std::vector<base::host_id> Hosts = Document.Witnesses;
  for (const base::host_id &Host : Document.PreviousWitnesses)
    if (!contains(Hosts, Host))
      Hosts.push_back(Host);
  return Hosts;
}

} // namespace radishrelay::fleet
