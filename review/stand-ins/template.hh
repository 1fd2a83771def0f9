// Renders the settings template of the deploy file as the platform does, as far
// as the template needs it: values {{a.b}}, and sections {{#a}} .. {{/a}}, once
// for each entry of a table or list, or once for any other value.
#ifndef REVIEW_TEMPLATE_HH
#define REVIEW_TEMPLATE_HH

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <string>

namespace review {

using json = nlohmann::json;

/// Returns the value at \p Path, null if there is none.
inline json valueAt(const json &Fields, const std::string &Path) {
  std::size_t Dot = Path.find('.');
  std::string Name = Path.substr(0, Dot);
  json Value;
  if (Fields.is_array())
    Value = Fields.at(std::stoul(Name));
  else if (Fields.contains(Name))
    Value = Fields.at(Name);
  return Dot == std::string::npos || Value.is_null()
             ? Value
             : valueAt(Value, Path.substr(Dot + 1));
}

inline std::string textOf(const json &Value) {
  return Value.is_string() ? Value.get<std::string>()
         : Value.is_null() ? std::string()
                           : Value.dump();
}

/// \p Entry and \p Key stand for {{.}} and {{@}}.
inline std::string renderTemplate(const std::string &Text, const json &Fields,
                                  const json &Entry = nullptr,
                                  const std::string &Key = "") {
  std::string Result;
  std::size_t From = 0;
  for (std::size_t At = Text.find("{{"); At != std::string::npos;
       At = Text.find("{{", From)) {
    std::size_t End = Text.find("}}", At);
    if (End == std::string::npos)
      throw std::runtime_error("the settings template has an open field");
    Result += Text.substr(From, At - From);
    std::string Field = Text.substr(At + 2, End - At - 2);
    From = End + 2;
    if (Field == ".") {
      Result += textOf(Entry);
    } else if (Field == "@") {
      Result += Key;
    } else if (Field[0] != '#') {
      Result += textOf(valueAt(Fields, Field));
    } else {
      std::string Mark = "{{/" + Field.substr(1) + "}}";
      std::size_t Close = Text.find(Mark, From);
      if (Close == std::string::npos)
        throw std::runtime_error("the settings template has an open section");
      std::string Body = Text.substr(From, Close - From);
      From = Close + Mark.size();
      json Value = valueAt(Fields, Field.substr(1));
      if (Value.is_structured())
        for (const auto &[Name, Item] : Value.items())
          Result += renderTemplate(Body, Fields, Item, Name);
      else if (!Value.is_null() && Value != false)
        Result += renderTemplate(Body, Fields);
    }
  }
  return Result + Text.substr(From);
}

} // namespace review

#endif
