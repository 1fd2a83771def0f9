#include "radishrelay/base/untrusted_json.h"

#include <algorithm>

namespace radishrelay::base {

namespace {

/// Returns the number of brackets open at once in \p Text. Brackets within
/// strings do not count.
std::size_t nestingOf(std::string_view Text) {
  std::size_t Open = 0;
  std::size_t Deepest = 0;
  bool IsString = false;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    char Character = Text[Index];
    if (Character == '"')
      IsString = !IsString;
    else if (IsString)
      Index += Character == '\\' ? 1U : 0U;
    else if (Character == '[' || Character == '{')
      Deepest = std::max(Deepest, ++Open);
    else if ((Character == ']' || Character == '}') && Open > 0)
      --Open;
  }
  return Deepest;
}

} // namespace

json parseUntrustedJson(std::string_view Text) {
  if (nestingOf(Text) > MaxJsonNesting)
    return nullptr;
  constexpr bool ThrowErrors = false;
  json Document = json::parse(Text, nullptr, ThrowErrors);
  if (Document.is_discarded())
    Document = nullptr;
  return Document;
}

} // namespace radishrelay::base
