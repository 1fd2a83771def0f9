#include "radishrelay/accounts/client_key.h"
#include "radishrelay/accounts/key_creation.h"
#include "radishrelay/accounts/key_verifier.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay;
using namespace radishrelay::accounts;

created_key makeKey(const std::string &Account, const std::string &KeyId,
                    char Fill) {
  return *createKey(base::account_id(Account), KeyId,
                    std::string(KeyRandomBytes, Fill));
}

std::error_code errorOf(const key_verifier &Verifier, const std::string &Text) {
  auto Result = Verifier.verify(Text);
  BOOST_REQUIRE(!Result);
  return Result.error().Code;
}

} // namespace

BOOST_AUTO_TEST_SUITE(keys)

BOOST_AUTO_TEST_SUITE(a_key_text)

// Guards against a split at the wrong underscore: a base64url secret may
// contain underscores.
BOOST_AUTO_TEST_CASE(ends_its_id_at_the_first_underscore) {
  auto Key = parseClientKey("rr_k1_a_b-c");
  BOOST_REQUIRE(Key.hasValue());
  BOOST_TEST(Key->KeyId == "k1");
  BOOST_TEST(Key->Secret == "a_b-c");
}

// Guards against header injection and oversized key texts.
BOOST_AUTO_TEST_CASE(is_refused_when_malformed) {
  for (const char *Text : {"k1_secret", "rr_k1", "rr__secret", "rr_k1_",
                           "rr_k 1_secret", "rr_k1_sec ret", "rr_k1_sec\n"})
    BOOST_TEST(parseClientKey(Text).error().Code == key_error::Malformed);
  std::string TooLong = "rr_k1_" + std::string(MaxKeyTextBytes, 'a');
  BOOST_TEST(parseClientKey(TooLong).error().Code == key_error::Malformed);
  BOOST_TEST(parseClientKey("").error().Code == key_error::Missing);
}

// Guards against a case-sensitive comparison of the scheme, which RFC 9110
// defines as case-insensitive.
BOOST_AUTO_TEST_CASE(is_parsed_from_the_authorization_header) {
  BOOST_TEST(*bearerToken("Bearer rr_k1_s") == "rr_k1_s");
  BOOST_TEST(*bearerToken("bearer  rr_k1_s") == "rr_k1_s");
  BOOST_TEST(bearerToken("Basic abc").error().Code == key_error::Malformed);
  BOOST_TEST(bearerToken("").error().Code == key_error::Missing);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_verifier)

// Guards against a request that runs under the wrong account (P4).
BOOST_AUTO_TEST_CASE(returns_the_account_of_each_key) {
  created_key First = makeKey("installers", "k1", 'a');
  created_key Second = makeKey("installers", "k2", 'b');
  created_key Other = makeKey("inspectors", "k1", 'c');
  auto Verifier =
      key_verifier::create({First.Record, Second.Record, Other.Record});
  BOOST_REQUIRE(Verifier.hasValue());
  base::account_id Installers("installers");
  BOOST_TEST((*Verifier->verify(First.Text) == verified_key{Installers, "k1"}));
  BOOST_TEST(
      (*Verifier->verify(Second.Text) == verified_key{Installers, "k2"}));
  BOOST_TEST(Verifier->verify(Other.Text)->Account.str() == "inspectors");
}

// Guards against acceptance of a withdrawn key, or of one key's secret with
// the id of another (P6).
BOOST_AUTO_TEST_CASE(refuses_invalid_keys_with_a_typed_error) {
  created_key Granted = makeKey("installers", "k1", 'a');
  created_key Withdrawn = makeKey("installers", "k2", 'b');
  auto Verifier = key_verifier::create({Granted.Record});
  BOOST_TEST(errorOf(*Verifier, Withdrawn.Text) == key_error::Unknown);
  std::string Mixed = "rr_k1_" + Withdrawn.Text.substr(6);
  BOOST_TEST(errorOf(*Verifier, Mixed) == key_error::SecretWrong);
  BOOST_TEST(errorOf(*Verifier, "") == key_error::Missing);
  BOOST_TEST(errorOf(key_verifier(), Granted.Text) == key_error::Unknown);
}

// Guards against a secret in a log line or a state dump (P5).
BOOST_AUTO_TEST_CASE(shows_no_secret_salt_or_digest) {
  created_key Key = makeKey("installers", "k1", 'a');
  auto Verifier = key_verifier::create({Key.Record});
  std::string Dump = Verifier->dump().dump();
  BOOST_TEST(Dump == R"([{"account":"installers","key":"k1"}])");
  std::string Wrong = "rr_k9_" + Key.Text.substr(6);
  std::string Message = base::toString(Verifier->verify(Wrong).error());
  BOOST_TEST(Message.find(Key.Text.substr(6)) == std::string::npos);
}

// Guards against a record that matches no key, so that its caller is refused
// without a hint at the configuration.
BOOST_AUTO_TEST_CASE(refuses_malformed_and_duplicate_records) {
  key_record Record = makeKey("installers", "k1", 'a').Record;
  key_record NoSalt = Record;
  NoSalt.Salt = "";
  key_record ShortDigest = Record;
  ShortDigest.Digest = "QQ";
  BOOST_TEST(!key_verifier::create({NoSalt}));
  BOOST_TEST(!key_verifier::create({ShortDigest}));
  BOOST_TEST(!key_verifier::create({Record, Record}));
  BOOST_TEST(!createKey(Record.Account, "k_1", std::string(48, 'a')));
  BOOST_TEST(!createKey(Record.Account, "k1", "short"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
