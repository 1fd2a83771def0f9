#include "radishrelay/sessions/detail/commit_survey.h"

#include <algorithm>

namespace radishrelay::sessions::detail {

namespace {

/// Interval at which hosts are asked that have not answered: some round trips.
constexpr base::duration InquiryInterval = std::chrono::milliseconds(80);
/// Time before the fences since which a host has to be running for its answer
/// to count. What an earlier run of it has acknowledged by then was confirmed
/// by replicas that are listed by now.
constexpr base::duration MinRunningTime = std::chrono::seconds(2);

} // namespace

void commit_survey::begin(const commit_inquiry &NewInquiry,
                          base::time_point NewFencedAt) {
  Inquiry = NewInquiry;
  FencedAt = NewFencedAt;
  NextInquiryAt = {};
  Answered.clear();
  Highest.reset();
}

void commit_survey::receive(const commit_report &Report, base::time_point Now) {
  bool IsAwaited = Inquiry && Report.Round == Inquiry->Round &&
                   Report.Group == Inquiry->Group;
  if (!IsAwaited)
    return;
  if (Report.Acknowledged)
    Highest =
        std::max(Highest.value_or(*Report.Acknowledged), *Report.Acknowledged);
  if (Now - Report.RunningFor <= FencedAt - MinRunningTime)
    Answered.insert(Report.Host.str());
}

void commit_survey::advance(base::time_point Now) {
  if (!Inquiry || Now < NextInquiryAt)
    return;
  NextInquiryAt = Now + InquiryInterval;
  for (const fleet_members::peer &Other : Members.others())
    if (!Answered.contains(Other.Name))
      Members.send(*Inquiry, Other.Address);
}

base::time_point commit_survey::nextWake() const {
  return Inquiry ? NextInquiryAt : base::time_point::max();
}

bool commit_survey::isComplete(
    const std::optional<base::failure_domain_id> &Unreachable) const {
  if (!Inquiry)
    return false;
  std::vector<fleet_members::peer> Others = Members.others();
  auto HasAnswered = [this](const fleet_members::peer &Other) {
    return Answered.contains(Other.Name);
  };
  bool IsDomainCutOff =
      Unreachable && std::ranges::none_of(Others, [&](const auto &Other) {
        return Other.Domain == *Unreachable && HasAnswered(Other);
      });
  return std::ranges::all_of(Others, [&](const auto &Other) {
    return HasAnswered(Other) ||
           (IsDomainCutOff && Other.Domain == *Unreachable);
  });
}

} // namespace radishrelay::sessions::detail
