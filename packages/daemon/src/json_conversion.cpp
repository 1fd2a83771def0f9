#include "json_conversion.h"

namespace radishrelay::daemon::detail {

base::json fromJsonCpp(const Json::Value &Value) {
  switch (Value.type()) {
  case Json::nullValue:
    return nullptr;
  case Json::intValue:
    return Value.asInt64();
  case Json::uintValue:
    return Value.asUInt64();
  case Json::realValue:
    return Value.asDouble();
  case Json::stringValue:
    return Value.asString();
  case Json::booleanValue:
    return Value.asBool();
  case Json::arrayValue: {
    base::json Array = base::json::array();
    for (const Json::Value &Element : Value)
      Array.push_back(fromJsonCpp(Element));
    return Array;
  }
  case Json::objectValue: {
    base::json Object = base::json::object();
    for (const std::string &Name : Value.getMemberNames())
      Object[Name] = fromJsonCpp(Value[Name]);
    return Object;
  }
  }
  return nullptr;
}

Json::Value toJsonCpp(const base::json &Value) {
  if (Value.is_string())
    return Value.get<std::string>();
  if (Value.is_boolean())
    return Value.get<bool>();
  if (Value.is_number_unsigned())
    return Json::Value::UInt64(Value.get<std::uint64_t>());
  if (Value.is_number_integer())
    return Json::Value::Int64(Value.get<std::int64_t>());
  if (Value.is_number_float())
    return Value.get<double>();
  if (Value.is_array()) {
    Json::Value Array(Json::arrayValue);
    for (const base::json &Element : Value)
      Array.append(toJsonCpp(Element));
    return Array;
  }
  if (Value.is_object()) {
    Json::Value Object(Json::objectValue);
    for (const auto &Member : Value.items())
      Object[Member.key()] = toJsonCpp(Member.value());
    return Object;
  }
  return Json::nullValue;
}

} // namespace radishrelay::daemon::detail
