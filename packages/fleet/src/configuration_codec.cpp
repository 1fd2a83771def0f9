#include "configuration_codec.h"

#include "radishrelay/base/digest.h"

namespace radishrelay::fleet {

using base::json;

namespace detail {

namespace {

backend_instance readInstance(json_reader &Reader) {
  return {base::instance_id(Reader.string("id")), Reader.string("address"),
          base::failure_domain_id(Reader.string("failure_domain"))};
}

json formatInstance(const backend_instance &Instance) {
  return {{"id", Instance.Id.str()},
          {"address", Instance.Address},
          {"failure_domain", Instance.FailureDomain.str()}};
}

client_account readAccount(json_reader &Reader) {
  client_account Account;
  Account.Id = base::account_id(Reader.string("id"));
  Account.RatePerSecond = Reader.integer("rate_per_second");
  Account.Burst = Reader.integer("burst");
  Reader.forEachObject("keys", [&](json_reader &Item) {
    Account.Keys.push_back(readKey(Item));
  });
  return Account;
}

json formatAccount(const client_account &Account) {
  json Keys = json::array();
  for (const account_key &Key : Account.Keys)
    Keys.push_back(formatKey(Key));
  return {{"id", Account.Id.str()},
          {"rate_per_second", Account.RatePerSecond},
          {"burst", Account.Burst},
          {"keys", std::move(Keys)}};
}

route_kind readKind(json_reader &Reader) {
  std::string Kind = Reader.string("kind");
  if (Kind != "read" && Kind != "write")
    Reader.fail("kind", "must be \"read\" or \"write\"");
  return Kind == "write" ? route_kind::Write : route_kind::Read;
}

template <typename Items, typename Function>
json formatEach(const Items &Values, Function Format) {
  json Result = json::array();
  for (const auto &Value : Values)
    Result.push_back(Format(Value));
  return Result;
}

} // namespace

account_key readKey(json_reader &Reader) {
  return {Reader.string("id"), Reader.string("salt"), Reader.string("digest")};
}

json formatKey(const account_key &Key) {
  return {{"id", Key.Id}, {"salt", Key.Salt}, {"digest", Key.Digest}};
}

database_group readGroup(json_reader &Reader) {
  database_group Group;
  Group.Id = base::group_id(Reader.string("id"));
  Group.Slots = Reader.integer("slots");
  Group.Connections = Reader.integer("connections");
  Reader.forEachObject("instances", [&](json_reader &Item) {
    Group.Instances.push_back(readInstance(Item));
  });
  return Group;
}

json formatGroup(const database_group &Group) {
  return {{"id", Group.Id.str()},
          {"slots", Group.Slots},
          {"connections", Group.Connections},
          {"instances", formatEach(Group.Instances, formatInstance)}};
}

route readRoute(json_reader &Reader) {
  route Route;
  Route.Name = Reader.string("name");
  Route.Group = base::group_id(Reader.string("group"));
  Route.Statement = Reader.string("statement");
  Route.Kind = readKind(Reader);
  Route.Idempotent = Reader.booleanOr("idempotent", false);
  if (auto MaxAge = Reader.optionalInteger("max_age_ms"))
    Route.MaxAge = std::chrono::milliseconds(*MaxAge);
  Route.Open = Reader.booleanOr("open", false);
  Route.Parameters = Reader.stringsOrEmpty("parameters");
  return Route;
}

json formatRoute(const route &Route) {
  json MaxAge;
  if (Route.MaxAge)
    MaxAge = Route.MaxAge->count();
  return {{"name", Route.Name},
          {"group", Route.Group.str()},
          {"statement", Route.Statement},
          {"kind", Route.Kind == route_kind::Write ? "write" : "read"},
          {"idempotent", Route.Idempotent},
          {"max_age_ms", std::move(MaxAge)},
          {"open", Route.Open},
          {"parameters", Route.Parameters}};
}

session_key readSessionKey(json_reader &Reader) {
  return {Reader.string("id"), Reader.string("secret")};
}

json formatSessionKey(const session_key &Key) {
  return {{"id", Key.Id}, {"secret", Key.Secret}};
}

std::vector<base::host_id> toHosts(const std::vector<std::string> &Names) {
  std::vector<base::host_id> Hosts;
  for (const std::string &Name : Names)
    Hosts.emplace_back(Name);
  return Hosts;
}

json formatHosts(const std::vector<base::host_id> &Hosts) {
  return formatEach(Hosts,
                    [](const base::host_id &Host) { return Host.str(); });
}

} // namespace detail

base::expected<configuration_document, configuration_errors>
parseConfiguration(const json &Document) {
  configuration_errors Errors;
  detail::json_reader Reader(Document, "", Errors);
  configuration_document Result;
  std::int64_t Version = Reader.integer("version");
  if (Version < 0)
    Reader.fail("version", "must not be negative");
  Result.Version = static_cast<configuration_version>(Version);
  Result.SlotCount = Reader.integer("slot_count");
  Result.FloorFractionPpm = Reader.integer("floor_fraction_ppm");
  Reader.forEachObject("accounts", [&](detail::json_reader &Item) {
    Result.Accounts.push_back(detail::readAccount(Item));
  });
  Reader.forEachObject("groups", [&](detail::json_reader &Item) {
    Result.Groups.push_back(detail::readGroup(Item));
  });
  Reader.forEachObject("routes", [&](detail::json_reader &Item) {
    Result.Routes.push_back(detail::readRoute(Item));
  });
  Reader.forEachObject("session_keys", [&](detail::json_reader &Item) {
    Result.SessionKeys.push_back(detail::readSessionKey(Item));
  });
  Result.Witnesses = detail::toHosts(Reader.strings("witnesses"));
  Result.PreviousWitnesses =
      detail::toHosts(Reader.stringsOrEmpty("previous_witnesses"));
  Reader.reportUnknownMembers();
  if (Errors.empty())
    Errors = validateConfiguration(Result);
  if (!Errors.empty())
    return Errors;
  return Result;
}

json formatConfiguration(const configuration_document &Document) {
  json Result = {
      {"version", Document.Version},
      {"slot_count", Document.SlotCount},
      {"floor_fraction_ppm", Document.FloorFractionPpm},
      {"accounts",
       detail::formatEach(Document.Accounts, detail::formatAccount)},
      {"groups", detail::formatEach(Document.Groups, detail::formatGroup)},
      {"routes", detail::formatEach(Document.Routes, detail::formatRoute)},
      {"session_keys",
       detail::formatEach(Document.SessionKeys, detail::formatSessionKey)},
      {"witnesses", detail::formatHosts(Document.Witnesses)}};
  if (!Document.PreviousWitnesses.empty())
    Result["previous_witnesses"] =
        detail::formatHosts(Document.PreviousWitnesses);
  return Result;
}

json formatConfigurationRedacted(const configuration_document &Document) {
  json Result = formatConfiguration(Document);
  for (json &Account : Result["accounts"])
    for (json &Key : Account["keys"])
      Key = json{{"id", Key["id"]}};
  for (json &Key : Result["session_keys"])
    Key = json{{"id", Key["id"]}};
  return Result;
}

std::string configurationDigest(const configuration_document &Document) {
  return base::encodeHex(base::sha256(formatConfiguration(Document).dump()));
}

json formatErrors(const configuration_errors &Errors) {
  return detail::formatEach(Errors, [](const configuration_error &Error) {
    return json{{"place", Error.Place}, {"message", Error.Message}};
  });
}

} // namespace radishrelay::fleet
