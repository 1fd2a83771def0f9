#include "radishrelay/accounts/lender_order.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace radishrelay::accounts {

namespace {

constexpr base::duration PartialGrantPause = std::chrono::milliseconds(10);
constexpr base::duration FirstDenialPause = std::chrono::milliseconds(25);
constexpr int MaxDenialDoublings = 4;
constexpr base::duration FirstTimeoutPause = std::chrono::milliseconds(100);
constexpr int MaxTimeoutDoublings = 5;

} // namespace

void lender_order::setHosts(const std::vector<base::host_id> &Hosts) {
  std::vector<lender> Ordered;
  Ordered.reserve(Hosts.size());
  for (const base::host_id &Host : Hosts) {
    const lender *Known = find(Host);
    Ordered.push_back(Known ? *Known : lender{Host, {}});
  }
  Lenders = std::move(Ordered);
}

std::optional<base::host_id> lender_order::choose(base::time_point Now) const {
  for (const lender &Lender : Lenders)
    if (Lender.NotBefore <= Now)
      return Lender.Host;
  return std::nullopt;
}

base::time_point lender_order::nextChoiceAt() const {
  base::time_point Earliest = base::time_point::max();
  for (const lender &Lender : Lenders)
    Earliest = std::min(Earliest, Lender.NotBefore);
  return Earliest;
}

void lender_order::recordGrant(const base::host_id &Host) {
  if (lender *Lender = find(Host))
    *Lender = {Host, base::time_point()};
}

void lender_order::recordPartialGrant(const base::host_id &Host,
                                      base::time_point Now) {
  if (lender *Lender = find(Host))
    *Lender = {Host, Now + PartialGrantPause};
}

void lender_order::recordDenial(const base::host_id &Host,
                                base::time_point Now) {
  if (lender *Lender = find(Host)) {
    Lender->NotBefore = Now + FirstDenialPause * (1 << Lender->Denials);
    Lender->Denials = std::min(Lender->Denials + 1, MaxDenialDoublings);
    Lender->Timeouts = 0;
  }
}

void lender_order::recordTimeout(const base::host_id &Host,
                                 base::time_point Now) {
  if (lender *Lender = find(Host)) {
    Lender->NotBefore = Now + FirstTimeoutPause * (1 << Lender->Timeouts);
    Lender->Timeouts = std::min(Lender->Timeouts + 1, MaxTimeoutDoublings);
  }
}

lender_order::lender *lender_order::find(const base::host_id &Host) {
  auto Found =
      std::find_if(Lenders.begin(), Lenders.end(),
                   [&](const lender &Lender) { return Lender.Host == Host; });
  return Found == Lenders.end() ? nullptr : &*Found;
}

} // namespace radishrelay::accounts
