#include "radishrelay/accounts/client_key.h"

#include <algorithm>

namespace radishrelay::accounts {

namespace {

constexpr std::string_view KeyPrefix = "rr_";
constexpr std::string_view BearerScheme = "bearer ";
constexpr std::size_t MaxKeyIdBytes = 64;

base::failure keyFailure(key_error Error) {
  return {make_error_code(Error), "parse key", "", ""};
}

bool isLetterOrDigit(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9');
}

bool isSecretCharacter(char Character) {
  return isLetterOrDigit(Character) || Character == '-' || Character == '_';
}

char toLower(char Character) {
  bool IsUpper = Character >= 'A' && Character <= 'Z';
  return IsUpper ? static_cast<char>(Character - 'A' + 'a') : Character;
}

} // namespace

bool isKeyId(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxKeyIdBytes)
    return false;
  return std::all_of(Text.begin(), Text.end(), [](char Character) {
    return isLetterOrDigit(Character) || Character == '-';
  });
}

base::expected<client_key> parseClientKey(std::string_view Text) {
  if (Text.empty())
    return keyFailure(key_error::Missing);
  if (Text.size() > MaxKeyTextBytes || !Text.starts_with(KeyPrefix))
    return keyFailure(key_error::Malformed);
  Text.remove_prefix(KeyPrefix.size());
  std::size_t End = Text.find('_');
  if (End == std::string_view::npos)
    return keyFailure(key_error::Malformed);
  client_key Key{Text.substr(0, End), Text.substr(End + 1)};
  bool SecretValid =
      !Key.Secret.empty() &&
      std::all_of(Key.Secret.begin(), Key.Secret.end(), isSecretCharacter);
  if (!isKeyId(Key.KeyId) || !SecretValid)
    return keyFailure(key_error::Malformed);
  return Key;
}

base::expected<std::string_view> bearerToken(std::string_view Header) {
  if (Header.empty())
    return keyFailure(key_error::Missing);
  if (Header.size() <= BearerScheme.size())
    return keyFailure(key_error::Malformed);
  for (std::size_t Index = 0; Index < BearerScheme.size(); ++Index)
    if (toLower(Header[Index]) != BearerScheme[Index])
      return keyFailure(key_error::Malformed);
  Header.remove_prefix(BearerScheme.size());
  while (Header.starts_with(' '))
    Header.remove_prefix(1);
  if (Header.empty())
    return keyFailure(key_error::Malformed);
  return Header;
}

} // namespace radishrelay::accounts
