#include "json_reader.h"

namespace radishrelay::fleet::detail {

namespace {

const base::json AbsentMember;
const base::json EmptyArray = base::json::array();

} // namespace

json_reader::json_reader(const base::json &Value, std::string Place,
                         configuration_errors &Errors)
    : Value(Value), Place(std::move(Place)), Errors(Errors) {
  if (!Value.is_object())
    Errors.push_back({this->Place, "must be an object"});
}

std::string json_reader::member(const std::string &Name) const {
  return Place.empty() ? Name : Place + "." + Name;
}

std::string json_reader::element(const char *Name, std::size_t Index) const {
  return member(Name) + "[" + std::to_string(Index) + "]";
}

void json_reader::fail(const char *Name, std::string Message) {
  Errors.push_back({member(Name), std::move(Message)});
}

const base::json *json_reader::find(const char *Name) {
  ReadNames.insert(Name);
  if (!Value.is_object())
    return nullptr;
  auto Found = Value.find(Name);
  return Found == Value.end() ? nullptr : &*Found;
}

const base::json &json_reader::require(const char *Name) {
  const base::json *Found = find(Name);
  if (Found)
    return *Found;
  if (Value.is_object())
    fail(Name, "is missing");
  return AbsentMember;
}

const base::json &json_reader::array(const char *Name) {
  const base::json &Items = require(Name);
  if (Items.is_array())
    return Items;
  if (&Items != &AbsentMember)
    fail(Name, "must be an array");
  return EmptyArray;
}

std::string json_reader::string(const char *Name) {
  const base::json &Item = require(Name);
  if (Item.is_string())
    return Item.get<std::string>();
  if (&Item != &AbsentMember)
    fail(Name, "must be a string");
  return {};
}

std::int64_t json_reader::integer(const char *Name) {
  const base::json &Item = require(Name);
  if (Item.is_number_integer())
    return Item.get<std::int64_t>();
  if (&Item != &AbsentMember)
    fail(Name, "must be an integer");
  return 0;
}

std::int64_t json_reader::integerOr(const char *Name, std::int64_t Default) {
  return find(Name) ? integer(Name) : Default;
}

std::optional<std::int64_t> json_reader::optionalInteger(const char *Name) {
  const base::json *Found = find(Name);
  if (!Found || Found->is_null())
    return std::nullopt;
  return integer(Name);
}

bool json_reader::booleanOr(const char *Name, bool Default) {
  const base::json *Found = find(Name);
  if (!Found)
    return Default;
  if (Found->is_boolean())
    return Found->get<bool>();
  fail(Name, "must be true or false");
  return Default;
}

std::vector<std::string> json_reader::strings(const char *Name) {
  const base::json &Items = array(Name);
  std::vector<std::string> Result;
  for (std::size_t Index = 0; Index < Items.size(); ++Index) {
    if (Items[Index].is_string())
      Result.push_back(Items[Index].get<std::string>());
    else
      Errors.push_back({element(Name, Index), "must be a string"});
  }
  return Result;
}

std::vector<std::string> json_reader::stringsOrEmpty(const char *Name) {
  return find(Name) ? strings(Name) : std::vector<std::string>();
}

json_reader json_reader::object(const char *Name) {
  return {require(Name), member(Name), Errors};
}

void json_reader::reportUnknownMembers() {
  if (!Value.is_object())
    return;
  for (const auto &Item : Value.items())
    if (!ReadNames.contains(Item.key()))
      Errors.push_back({member(Item.key()), "is not a known member"});
}

} // namespace radishrelay::fleet::detail
