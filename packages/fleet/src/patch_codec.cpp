#include "configuration_codec.h"

#include "radishrelay/fleet/configuration_patch.h"

#include <utility>

namespace radishrelay::fleet {

using base::json;

namespace {

using detail::json_reader;

base::account_id readAccountId(json_reader &Reader) {
  return base::account_id(Reader.string("account"));
}

/// Reads the member \p Name as an object; unknown members are errors.
template <typename Function>
auto readNested(json_reader &Reader, const char *Name, Function Read) {
  json_reader Nested = Reader.object(Name);
  auto Value = Read(Nested);
  Nested.reportUnknownMembers();
  return Value;
}

patch_operation readCreateAccount(json_reader &Reader) {
  return create_account{readAccountId(Reader),
                        Reader.integer("rate_per_second"),
                        Reader.integer("burst")};
}

patch_operation readRemoveAccount(json_reader &Reader) {
  return remove_account{readAccountId(Reader),
                        Reader.booleanOr("force", false)};
}

patch_operation readSetLimit(json_reader &Reader) {
  return set_limit{readAccountId(Reader), Reader.integer("rate_per_second"),
                   Reader.integer("burst")};
}

patch_operation readGrantKey(json_reader &Reader) {
  return grant_key{readAccountId(Reader),
                   readNested(Reader, "key", detail::readKey)};
}

patch_operation readWithdrawKey(json_reader &Reader) {
  return withdraw_key{readAccountId(Reader), Reader.string("key"),
                      Reader.booleanOr("force", false)};
}

patch_operation readSetRoute(json_reader &Reader) {
  return set_route{readNested(Reader, "route", detail::readRoute)};
}

patch_operation readRemoveRoute(json_reader &Reader) {
  return remove_route{Reader.string("name")};
}

patch_operation readSetGroup(json_reader &Reader) {
  return set_group{readNested(Reader, "group", detail::readGroup)};
}

patch_operation readRemoveGroup(json_reader &Reader) {
  return remove_group{base::group_id(Reader.string("group"))};
}

patch_operation readRotateSessionKey(json_reader &Reader) {
  return rotate_session_key{
      readNested(Reader, "session_key", detail::readSessionKey),
      Reader.integerOr("keep", 1), Reader.booleanOr("sign", true)};
}

patch_operation readSetWitnesses(json_reader &Reader) {
  return set_witnesses{detail::toHosts(Reader.strings("witnesses"))};
}

patch_operation readConfirmWitnesses(json_reader &) {
  return confirm_witnesses{};
}

struct operation_entry {
  const char *Name;
  patch_operation (*Read)(json_reader &);
};

constexpr operation_entry Operations[] = {
    {"create_account", readCreateAccount},
    {"remove_account", readRemoveAccount},
    {"set_limit", readSetLimit},
    {"grant_key", readGrantKey},
    {"withdraw_key", readWithdrawKey},
    {"set_route", readSetRoute},
    {"remove_route", readRemoveRoute},
    {"set_group", readSetGroup},
    {"remove_group", readRemoveGroup},
    {"rotate_session_key", readRotateSessionKey},
    {"set_witnesses", readSetWitnesses},
    {"confirm_witnesses", readConfirmWitnesses},
};

const operation_entry *findOperation(const std::string &Name) {
  for (const operation_entry &Entry : Operations)
    if (Name == Entry.Name)
      return &Entry;
  return nullptr;
}

/// Visitor that formats the members of an operation.
struct operation_writer {
  json operator()(const create_account &Operation) const {
    return {{"account", Operation.Account.str()},
            {"rate_per_second", Operation.RatePerSecond},
            {"burst", Operation.Burst}};
  }
  json operator()(const remove_account &Operation) const {
    return {{"account", Operation.Account.str()}, {"force", Operation.Force}};
  }
  json operator()(const set_limit &Operation) const {
    return {{"account", Operation.Account.str()},
            {"rate_per_second", Operation.RatePerSecond},
            {"burst", Operation.Burst}};
  }
  json operator()(const grant_key &Operation) const {
    return {{"account", Operation.Account.str()},
            {"key", detail::formatKey(Operation.Key)}};
  }
  json operator()(const withdraw_key &Operation) const {
    return {{"account", Operation.Account.str()},
            {"key", Operation.Key},
            {"force", Operation.Force}};
  }
  json operator()(const set_route &Operation) const {
    return {{"route", detail::formatRoute(Operation.Route)}};
  }
  json operator()(const remove_route &Operation) const {
    return {{"name", Operation.Name}};
  }
  json operator()(const set_group &Operation) const {
    return {{"group", detail::formatGroup(Operation.Group)}};
  }
  json operator()(const remove_group &Operation) const {
    return {{"group", Operation.Group.str()}};
  }
  json operator()(const rotate_session_key &Operation) const {
    return {{"session_key", detail::formatSessionKey(Operation.Key)},
            {"keep", Operation.Keep},
            {"sign", Operation.Sign}};
  }
  json operator()(const set_witnesses &Operation) const {
    return {{"witnesses", detail::formatHosts(Operation.Witnesses)}};
  }
  json operator()(const confirm_witnesses &) const { return json::object(); }
};

} // namespace

base::expected<configuration_patch, configuration_errors>
parsePatch(const json &Items) {
  configuration_errors Errors;
  if (!Items.is_array())
    return configuration_errors{{"operations", "must be an array"}};
  configuration_patch Patch;
  for (std::size_t Index = 0; Index < Items.size(); ++Index) {
    json_reader Reader(Items[Index],
                       "operations[" + std::to_string(Index) + "]", Errors);
    std::string Name = Reader.string("operation");
    const operation_entry *Entry = findOperation(Name);
    if (!Entry) {
      Reader.fail("operation", "unknown operation \"" + Name + "\"");
      continue;
    }
    Patch.push_back(Entry->Read(Reader));
    Reader.reportUnknownMembers();
  }
  if (!Errors.empty())
    return Errors;
  return Patch;
}

json formatPatch(const configuration_patch &Patch) {
  static_assert(std::size(Operations) == std::variant_size_v<patch_operation>);
  json Items = json::array();
  for (const patch_operation &Operation : Patch) {
    // The table lists the operations in the order of the variant's
    // alternatives.
    json Item = {{"operation", Operations[Operation.index()].Name}};
    Item.update(std::visit(operation_writer(), Operation));
    Items.push_back(std::move(Item));
  }
  return Items;
}

} // namespace radishrelay::fleet
