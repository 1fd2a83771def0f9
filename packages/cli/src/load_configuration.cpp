#include "load_configuration.h"

#include "radishrelay/accounts/key_creation.h"
#include "radishrelay/base/digest.h"

namespace radishrelay::cli {

namespace {

base::json makeAccount(load_account &Account) {
  auto Created =
      accounts::createKey(base::account_id(Account.Name), "k-" + Account.Name,
                          base::secureRandomBytes(accounts::KeyRandomBytes));
  base::json Object = base::json::object();
  Object["id"] = Account.Name;
  Object["rate_per_second"] = Account.RatePerSecond;
  Object["burst"] = Account.Burst;
  Object["keys"] = base::json::array();
  if (!Created)
    return Object;
  Account.Key = Created->Text;
  base::json Key = base::json::object();
  Key["id"] = Created->Record.KeyId;
  Key["salt"] = Created->Record.Salt;
  Key["digest"] = Created->Record.Digest;
  Object["keys"].push_back(Key);
  return Object;
}

base::json makeGroup(const load_configuration_parts &Parts, std::size_t Index) {
  const load_profile &Profile = Parts.Profile;
  base::json Group = base::json::object();
  Group["id"] = Profile.Groups[Index];
  Group["slots"] = Profile.Slots;
  Group["connections"] = Profile.Connections;
  Group["instances"] = base::json::array();
  const std::vector<std::string> &Addresses = Parts.Instances[Index];
  for (std::size_t Number = 0; Number < Addresses.size(); ++Number) {
    base::json Instance = base::json::object();
    Instance["id"] = Profile.Groups[Index] + "-" + std::to_string(Number + 1);
    Instance["address"] = Addresses[Number];
    Instance["failure_domain"] =
        Profile.FailureDomains[Number % Profile.FailureDomains.size()];
    Group["instances"].push_back(Instance);
  }
  return Group;
}

base::json makeRoute(const std::string &Group, const std::string &Suffix,
                     const base::json &MaxAge) {
  bool IsWrite = Suffix == "write";
  base::json Route = base::json::object();
  Route["name"] = Group + "-" + Suffix;
  Route["group"] = Group;
  Route["statement"] = IsWrite ? loadWriteStatement() : loadReadStatement();
  Route["kind"] = IsWrite ? "write" : "read";
  Route["idempotent"] = !IsWrite;
  Route["max_age_ms"] = MaxAge;
  Route["open"] = false;
  Route["parameters"] =
      IsWrite ? base::json{"id", "session"} : base::json{"echo", "id"};
  return Route;
}

} // namespace

std::string loadWriteStatement() {
  return "INSERT INTO " + std::string(LoadTable) +
         "(id, session) VALUES ($1, $2) RETURNING id AS echo";
}

std::string loadReadStatement() {
  return "SELECT $1 AS echo, count(*) AS found FROM " + std::string(LoadTable) +
         " WHERE id = $2";
}

base::json makeLoadConfiguration(load_configuration_parts &Parts) {
  constexpr std::int64_t SlotCount = 24;
  constexpr std::int64_t FloorFractionPpm = 300'000;
  constexpr std::size_t SecretBytes = 32;
  base::json Document = base::json::object();
  Document["version"] = 1;
  Document["slot_count"] = SlotCount;
  Document["floor_fraction_ppm"] = FloorFractionPpm;
  Document["accounts"] = base::json::array();
  for (load_account &Account : Parts.Profile.Accounts)
    Document["accounts"].push_back(makeAccount(Account));
  Document["groups"] = base::json::array();
  Document["routes"] = base::json::array();
  for (std::size_t Index = 0; Index < Parts.Profile.Groups.size(); ++Index) {
    const std::string &Group = Parts.Profile.Groups[Index];
    Document["groups"].push_back(makeGroup(Parts, Index));
    Document["routes"].push_back(makeRoute(Group, "write", nullptr));
    Document["routes"].push_back(
        makeRoute(Group, "read", Parts.Profile.MaxAgeMilliseconds));
    Document["routes"].push_back(makeRoute(Group, "current", nullptr));
  }
  base::json SessionKey = base::json::object();
  SessionKey["id"] = "s1";
  SessionKey["secret"] =
      base::encodeBase64Url(base::secureRandomBytes(SecretBytes));
  Document["session_keys"] = base::json::array({SessionKey});
  Document["witnesses"] = Parts.Witnesses;
  return Document;
}

} // namespace radishrelay::cli
