#include "radishrelay/accounts/key_verifier.h"

#include "radishrelay/accounts/client_key.h"
#include "radishrelay/accounts/key_creation.h"
#include "radishrelay/base/digest.h"

namespace radishrelay::accounts {

namespace {

constexpr std::size_t DigestBytes = 32;

base::failure verificationFailure(key_error Error) {
  return {make_error_code(Error), "check key", "", ""};
}

bool secretMatches(std::string_view Salt, std::string_view Digest,
                   std::string_view Secret) {
  return base::constantTimeEqual(base::hmacSha256(Salt, Secret), Digest);
}

/// Takes as long as the comparison with a granted key.
void compareWithDummy(std::string_view Secret) {
  static const std::string Zeros(DigestBytes, '\0');
  std::string_view Salt = std::string_view(Zeros).substr(0, KeySaltBytes);
  (void)secretMatches(Salt, Zeros, Secret);
}

} // namespace

base::failure key_verifier::recordFailure(const key_record &Record) {
  return {make_error_code(key_error::RecordMalformed), "load keys",
          Record.Account.str(), "key " + Record.KeyId};
}

base::failure key_verifier::add(const key_record &Record) {
  auto Salt = base::decodeBase64Url(Record.Salt);
  auto Digest = base::decodeBase64Url(Record.Digest);
  bool Valid = isKeyId(Record.KeyId) && Salt && Salt->size() == KeySaltBytes &&
               Digest && Digest->size() == DigestBytes;
  if (!Valid)
    return recordFailure(Record);
  auto [Begin, End] = Keys.equal_range(Record.KeyId);
  for (auto Key = Begin; Key != End; ++Key)
    if (Key->second.Account == Record.Account)
      return recordFailure(Record);
  Keys.emplace(Record.KeyId, granted_key{Record.Account, *Salt, *Digest});
  return {};
}

base::expected<key_verifier>
key_verifier::create(const std::vector<key_record> &Records) {
  key_verifier Verifier;
  for (const key_record &Record : Records)
    if (base::failure Failure = Verifier.add(Record))
      return Failure;
  return Verifier;
}

base::expected<verified_key>
key_verifier::verify(std::string_view KeyText) const {
  auto Key = parseClientKey(KeyText);
  if (!Key)
    return Key.error();
  auto [Begin, End] = Keys.equal_range(Key->KeyId);
  if (Begin == End) {
    compareWithDummy(Key->Secret);
    return verificationFailure(key_error::Unknown);
  }
  const granted_key *Match = nullptr;
  for (auto Candidate = Begin; Candidate != End; ++Candidate) {
    const granted_key &Granted = Candidate->second;
    if (secretMatches(Granted.Salt, Granted.Digest, Key->Secret))
      Match = &Granted;
  }
  if (!Match)
    return verificationFailure(key_error::SecretWrong);
  return verified_key{Match->Account, std::string(Key->KeyId)};
}

base::json key_verifier::dump() const {
  base::json Dump = base::json::array();
  for (const auto &[KeyId, Key] : Keys)
    Dump.push_back({{"account", Key.Account.str()}, {"key", KeyId}});
  return Dump;
}

} // namespace radishrelay::accounts
