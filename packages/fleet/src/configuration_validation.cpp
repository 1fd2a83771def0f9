#include "radishrelay/fleet/configuration_document.h"

#include "statement_scan.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>

namespace radishrelay::fleet {

namespace {

constexpr std::int64_t MaxFractionPpm = 1'000'000;
constexpr std::int64_t MaxSlots = 10'000;
constexpr std::int64_t MaxPort = 65'535;

std::string memberPlace(const char *List, std::size_t Index,
                        const char *Member) {
  return std::string(List) + "[" + std::to_string(Index) + "]" + Member;
}

bool isAddress(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return false;
  std::int64_t Port = 0;
  const char *End = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data() + Colon + 1, End, Port);
  return Result.ec == std::errc() && Result.ptr == End && Port > 0 &&
         Port <= MaxPort;
}

/// Key identifiers must not contain an underscore because it separates the
/// parts of the key's text form rr_ID_SECRET.
bool isKeyId(const std::string &Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return std::isalnum(static_cast<unsigned char>(Character)) ||
                  Character == '-';
         });
}

/// Collects the errors of a complete document.
class validator {
public:
  explicit validator(const configuration_document &Document)
      : Document(Document) {}

  configuration_errors run() {
    checkFleet();
    checkAccounts();
    checkGroups();
    checkRoutes();
    checkSessionKeys();
    checkHosts("witnesses", Document.Witnesses);
    checkHosts("previous_witnesses", Document.PreviousWitnesses);
    return std::move(Errors);
  }

private:
  using names = std::set<std::string>;

  void require(bool Condition, std::string Place, const std::string &Message) {
    if (!Condition)
      Errors.push_back({std::move(Place), Message});
  }

  void requireUniqueName(names &Seen, const std::string &Name,
                         const std::string &Place) {
    require(!Name.empty(), Place, "must not be empty");
    require(Seen.insert(Name).second, Place,
            "\"" + Name + "\" is already used");
  }

  void checkFleet() {
    require(Document.SlotCount >= 1 && Document.SlotCount <= MaxSlots,
            "slot_count", "must be from 1 to " + std::to_string(MaxSlots));
    require(Document.FloorFractionPpm >= 0 &&
                Document.FloorFractionPpm <= MaxFractionPpm,
            "floor_fraction_ppm", "must be from 0 to 1000000");
  }

  void checkAccounts() {
    names Ids;
    names KeyIds;
    for (std::size_t Index = 0; Index < Document.Accounts.size(); ++Index) {
      const client_account &Account = Document.Accounts[Index];
      requireUniqueName(Ids, Account.Id.str(),
                        memberPlace("accounts", Index, ".id"));
      require(Account.RatePerSecond >= 0,
              memberPlace("accounts", Index, ".rate_per_second"),
              "must not be below zero");
      require(Account.Burst >= 1, memberPlace("accounts", Index, ".burst"),
              "must be at least 1");
      checkKeys(Account, KeyIds, memberPlace("accounts", Index, ""));
    }
  }

  void checkKeys(const client_account &Account, names &KeyIds,
                 const std::string &Place) {
    for (std::size_t Index = 0; Index < Account.Keys.size(); ++Index) {
      const account_key &Key = Account.Keys[Index];
      std::string KeyPlace = Place + memberPlace(".keys", Index, "");
      require(isKeyId(Key.Id), KeyPlace + ".id",
              "must consist of letters, digits and \"-\"");
      requireUniqueName(KeyIds, Key.Id, KeyPlace + ".id");
      require(!Key.Salt.empty(), KeyPlace + ".salt", "must not be empty");
      require(!Key.Digest.empty(), KeyPlace + ".digest", "must not be empty");
    }
  }

  void checkGroups() {
    names Ids;
    names Instances;
    names Addresses;
    for (std::size_t Index = 0; Index < Document.Groups.size(); ++Index) {
      const database_group &Group = Document.Groups[Index];
      requireUniqueName(Ids, Group.Id.str(),
                        memberPlace("groups", Index, ".id"));
      require(Group.Slots >= 1, memberPlace("groups", Index, ".slots"),
              "must be at least 1");
      require(Group.Connections >= 1,
              memberPlace("groups", Index, ".connections"),
              "must be at least 1");
      require(!Group.Instances.empty(),
              memberPlace("groups", Index, ".instances"), "must not be empty");
      checkInstances(Group, Instances, Addresses,
                     memberPlace("groups", Index, ""));
    }
  }

  void checkInstances(const database_group &Group, names &Ids, names &Addresses,
                      const std::string &Place) {
    for (std::size_t Index = 0; Index < Group.Instances.size(); ++Index) {
      const backend_instance &Instance = Group.Instances[Index];
      std::string InstancePlace = Place + memberPlace(".instances", Index, "");
      requireUniqueName(Ids, Instance.Id.str(), InstancePlace + ".id");
      requireUniqueName(Addresses, Instance.Address,
                        InstancePlace + ".address");
      require(isAddress(Instance.Address), InstancePlace + ".address",
              "must be IP:port");
      require(!Instance.FailureDomain.empty(),
              InstancePlace + ".failure_domain", "must not be empty");
    }
  }

  void checkRoutes() {
    names Names;
    names Groups;
    for (const database_group &Group : Document.Groups)
      Groups.insert(Group.Id.str());
    for (std::size_t Index = 0; Index < Document.Routes.size(); ++Index) {
      const route &Route = Document.Routes[Index];
      requireUniqueName(Names, Route.Name,
                        memberPlace("routes", Index, ".name"));
      require(Groups.contains(Route.Group.str()),
              memberPlace("routes", Index, ".group"),
              "unknown group \"" + Route.Group.str() + "\"");
      checkStatement(Route, Index);
      checkAge(Route, memberPlace("routes", Index, ".max_age_ms"));
    }
  }

  void checkAge(const route &Route, const std::string &Place) {
    if (!Route.MaxAge)
      return;
    require(Route.MaxAge->count() >= 0, Place, "must not be negative");
    require(Route.Kind == route_kind::Read, Place,
            "must be null on a write route");
  }

  void checkStatement(const route &Route, std::size_t Index) {
    detail::statement_scan Scan = detail::scanStatement(Route.Statement);
    std::string Place = memberPlace("routes", Index, ".statement");
    require(!Scan.Words.empty(), Place, "must not be empty");
    require(!Scan.IsUnterminated, Place,
            "has a comment or literal that is not closed");
    require(!Scan.HasMultipleStatements, Place, "must be one statement");
    if (Route.Kind == route_kind::Read) {
      std::string Word = detail::findWriteKeyword(Scan);
      require(Word.empty(), Place, "a read route must not use " + Word);
    }
    checkParameters(Route, Scan, memberPlace("routes", Index, ".parameters"));
  }

  void checkParameters(const route &Route, const detail::statement_scan &Scan,
                       const std::string &Place) {
    names Names;
    for (const std::string &Name : Route.Parameters)
      requireUniqueName(Names, Name, Place);
    auto Count = static_cast<std::int64_t>(Route.Parameters.size());
    for (std::int64_t Number = 1; Number <= Count; ++Number)
      require(Scan.Parameters.contains(Number), Place,
              "the statement does not use $" + std::to_string(Number));
    for (std::int64_t Number : Scan.Parameters)
      require(Number >= 1 && Number <= Count, Place,
              "has no name for $" + std::to_string(Number));
  }

  void checkSessionKeys() {
    names Ids;
    require(!Document.SessionKeys.empty(), "session_keys", "must not be empty");
    for (std::size_t Index = 0; Index < Document.SessionKeys.size(); ++Index) {
      const session_key &Key = Document.SessionKeys[Index];
      requireUniqueName(Ids, Key.Id, memberPlace("session_keys", Index, ".id"));
      require(!Key.Secret.empty(),
              memberPlace("session_keys", Index, ".secret"),
              "must not be empty");
    }
  }

  void checkHosts(const char *List, const std::vector<base::host_id> &Hosts) {
    names Names;
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
      requireUniqueName(Names, Hosts[Index].str(),
                        memberPlace(List, Index, ""));
  }

  const configuration_document &Document;
  configuration_errors Errors;
};

} // namespace

configuration_errors
validateConfiguration(const configuration_document &Document) {
  return validator(Document).run();
}

} // namespace radishrelay::fleet
