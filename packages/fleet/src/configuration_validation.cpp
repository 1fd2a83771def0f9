#include "radishrelay/fleet/configuration_document.h"

#include "statement_scan.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>

namespace radishrelay::fleet {

namespace {

constexpr std::int64_t WholePpm = 1'000'000;
constexpr std::int64_t MostSlots = 10'000;
constexpr std::int64_t HighestPort = 65'535;

std::string at(const char *List, std::size_t Index, const char *Member) {
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
         Port <= HighestPort;
}

/// The underscore separates the parts of a key's text.
bool isKeyId(const std::string &Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return std::isalnum(static_cast<unsigned char>(Character)) ||
                  Character == '-';
         });
}

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

  void expect(bool Holds, std::string Place, const std::string &Message) {
    if (!Holds)
      Errors.push_back({std::move(Place), Message});
  }

  void expectName(names &Seen, const std::string &Name,
                  const std::string &Place) {
    expect(!Name.empty(), Place, "must not be empty");
    expect(Seen.insert(Name).second, Place, "\"" + Name + "\" is already used");
  }

  void checkFleet() {
    expect(Document.SlotCount >= 1 && Document.SlotCount <= MostSlots,
           "slot_count", "must be from 1 to " + std::to_string(MostSlots));
    expect(Document.FloorFractionPpm >= 0 &&
               Document.FloorFractionPpm <= WholePpm,
           "floor_fraction_ppm", "must be from 0 to 1000000");
  }

  void checkAccounts() {
    names Ids;
    names KeyIds;
    for (std::size_t Index = 0; Index < Document.Accounts.size(); ++Index) {
      const client_account &Account = Document.Accounts[Index];
      expectName(Ids, Account.Id.str(), at("accounts", Index, ".id"));
      expect(Account.RatePerSecond >= 0,
             at("accounts", Index, ".rate_per_second"),
             "must not be below zero");
      expect(Account.Burst >= 1, at("accounts", Index, ".burst"),
             "must be at least 1");
      checkKeys(Account, KeyIds, at("accounts", Index, ""));
    }
  }

  void checkKeys(const client_account &Account, names &KeyIds,
                 const std::string &Place) {
    for (std::size_t Index = 0; Index < Account.Keys.size(); ++Index) {
      const account_key &Key = Account.Keys[Index];
      std::string KeyPlace = Place + at(".keys", Index, "");
      expect(isKeyId(Key.Id), KeyPlace + ".id",
             "must consist of letters, digits and \"-\"");
      expectName(KeyIds, Key.Id, KeyPlace + ".id");
      expect(!Key.Salt.empty(), KeyPlace + ".salt", "must not be empty");
      expect(!Key.Digest.empty(), KeyPlace + ".digest", "must not be empty");
    }
  }

  void checkGroups() {
    names Ids;
    names Instances;
    names Addresses;
    for (std::size_t Index = 0; Index < Document.Groups.size(); ++Index) {
      const database_group &Group = Document.Groups[Index];
      expectName(Ids, Group.Id.str(), at("groups", Index, ".id"));
      expect(Group.Slots >= 1, at("groups", Index, ".slots"),
             "must be at least 1");
      expect(Group.Connections >= 1, at("groups", Index, ".connections"),
             "must be at least 1");
      expect(!Group.Instances.empty(), at("groups", Index, ".instances"),
             "must not be empty");
      checkInstances(Group, Instances, Addresses, at("groups", Index, ""));
    }
  }

  void checkInstances(const database_group &Group, names &Ids, names &Addresses,
                      const std::string &Place) {
    for (std::size_t Index = 0; Index < Group.Instances.size(); ++Index) {
      const backend_instance &Instance = Group.Instances[Index];
      std::string InstancePlace = Place + at(".instances", Index, "");
      expectName(Ids, Instance.Id.str(), InstancePlace + ".id");
      expectName(Addresses, Instance.Address, InstancePlace + ".address");
      expect(isAddress(Instance.Address), InstancePlace + ".address",
             "must be IP:port");
      expect(!Instance.FailureDomain.empty(), InstancePlace + ".failure_domain",
             "must not be empty");
    }
  }

  void checkRoutes() {
    names Names;
    names Groups;
    for (const database_group &Group : Document.Groups)
      Groups.insert(Group.Id.str());
    for (std::size_t Index = 0; Index < Document.Routes.size(); ++Index) {
      const route &Route = Document.Routes[Index];
      expectName(Names, Route.Name, at("routes", Index, ".name"));
      expect(Groups.contains(Route.Group.str()), at("routes", Index, ".group"),
             "unknown group \"" + Route.Group.str() + "\"");
      checkStatement(Route, Index);
      checkAge(Route, at("routes", Index, ".max_age_ms"));
    }
  }

  void checkAge(const route &Route, const std::string &Place) {
    if (!Route.MaxAge)
      return;
    expect(Route.MaxAge->count() >= 0, Place, "must not be negative");
    expect(Route.Kind == route_kind::Read, Place,
           "must be null on a write route");
  }

  void checkStatement(const route &Route, std::size_t Index) {
    detail::statement_scan Scan = detail::scanStatement(Route.Statement);
    std::string Place = at("routes", Index, ".statement");
    expect(!Scan.Words.empty(), Place, "must not be empty");
    expect(!Scan.Unterminated, Place,
           "has a comment or literal that is not closed");
    expect(!Scan.SeveralStatements, Place, "must be one statement");
    if (Route.Kind == route_kind::Read) {
      std::string Word = detail::findWriteWord(Scan);
      expect(Word.empty(), Place, "a read route must not use " + Word);
    }
    checkParameters(Route, Scan, at("routes", Index, ".parameters"));
  }

  void checkParameters(const route &Route, const detail::statement_scan &Scan,
                       const std::string &Place) {
    names Names;
    for (const std::string &Name : Route.Parameters)
      expectName(Names, Name, Place);
    auto Count = static_cast<std::int64_t>(Route.Parameters.size());
    for (std::int64_t Number = 1; Number <= Count; ++Number)
      expect(Scan.Parameters.contains(Number), Place,
             "the statement does not use $" + std::to_string(Number));
    for (std::int64_t Number : Scan.Parameters)
      expect(Number >= 1 && Number <= Count, Place,
             "has no name for $" + std::to_string(Number));
  }

  void checkSessionKeys() {
    names Ids;
    expect(!Document.SessionKeys.empty(), "session_keys", "must not be empty");
    for (std::size_t Index = 0; Index < Document.SessionKeys.size(); ++Index) {
      const session_key &Key = Document.SessionKeys[Index];
      expectName(Ids, Key.Id, at("session_keys", Index, ".id"));
      expect(!Key.Secret.empty(), at("session_keys", Index, ".secret"),
             "must not be empty");
    }
  }

  void checkHosts(const char *List, const std::vector<base::host_id> &Hosts) {
    names Names;
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
      expectName(Names, Hosts[Index].str(), at(List, Index, ""));
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
