#include "load_profile.h"

namespace radishrelay::cli {

namespace {

/// Eight accounts, two of them large, that offer 80% of their rate and may
/// burst for two seconds.
std::vector<load_account> accounts(const std::vector<std::string> &Names) {
  constexpr std::int64_t Rates[] = {200, 100, 40, 20, 20, 10, 10, 10};
  constexpr std::int64_t OfferedPercent = 80;
  constexpr std::int64_t BurstSeconds = 2;
  std::vector<load_account> Accounts;
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    Accounts.push_back({Names[Index], Rates[Index] * OfferedPercent / 100,
                        Rates[Index], Rates[Index] * BurstSeconds, ""});
  return Accounts;
}

} // namespace

const std::vector<load_profile> &loadProfiles() {
  static const std::vector<load_profile> Profiles{
      {"granite-ledger",
       {"permits", "fees", "inspections"},
       {"boston", "hartford", "portland"},
       3,
       50,
       1000,
       accounts({"installers-ne", "portal", "clerks", "marshals", "inspectors",
                 "vermont", "maine", "archive"}),
       {0.35, 0.35, 0.2, 0.1}},
      {"amman",
       {"orders", "deposits", "castings"},
       {"amman-east", "amman-west", "amman-south"},
       5,
       150,
       5000,
       accounts({"catalogue", "order-desk", "architects", "forge", "gilders",
                 "dealers", "couriers", "accounts"}),
       {0.5, 0.15, 0.2, 0.15}},
  };
  return Profiles;
}

const load_profile *findLoadProfile(std::string_view Name) {
  for (const load_profile &Profile : loadProfiles())
    if (Profile.Name == Name)
      return &Profile;
  return nullptr;
}

} // namespace radishrelay::cli
