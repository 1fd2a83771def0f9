#include "radishrelay/base/digest.h"
#include "radishrelay/base/random_generator.h"
#include "radishrelay/groups/session_error.h"
#include "radishrelay/groups/session_token_codec.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace {

using namespace radishrelay::groups;
using radishrelay::base::account_id;
using radishrelay::base::group_id;
using radishrelay::base::random_generator;

const account_id Installers("installers");
const signing_key OldKey{"s1", "old secret"};
const signing_key NewKey{"s2", "new secret"};

group_id groupNumber(std::uint64_t Number) {
  return group_id("group-" + std::to_string(Number));
}

session_positions stateWith(std::uint64_t GroupCount) {
  session_positions State;
  State.Account = Installers;
  State.IssuedAtMs = 1'700'000'000'000;
  for (std::uint64_t Number = 0; Number < GroupCount; ++Number)
    State.merge(groupNumber(Number), {2, 100 + Number});
  return State;
}

std::error_code errorOf(const session_token_codec &Tokens,
                        std::string_view Text,
                        const account_id &Account = Installers) {
  auto State = Tokens.decode(Text, Account);
  return State ? std::error_code() : State.error().Code;
}

} // namespace

BOOST_AUTO_TEST_SUITE(sessions)

BOOST_AUTO_TEST_SUITE(session_tokens)

// Guards against a position that is lost or changed between two hosts.
BOOST_AUTO_TEST_CASE(carry_all_positions) {
  session_token_codec Tokens({OldKey});
  session_positions State = stateWith(MaxSessionGroups);
  BOOST_TEST((*Tokens.decode(*Tokens.encode(State), Installers) == State));
}

// Guards against refusing the tokens of open sessions when the operator rotates
// the signing key.
BOOST_AUTO_TEST_CASE(remain_valid_after_a_key_rotation) {
  std::string Issued = *session_token_codec({OldKey}).encode(stateWith(2));
  BOOST_TEST(!errorOf(session_token_codec({NewKey, OldKey}), Issued));
  BOOST_TEST((errorOf(session_token_codec({NewKey}), Issued) ==
              session_error::UnknownKey));
  std::string Renewed =
      *session_token_codec({NewKey, OldKey}).encode(stateWith(2));
  BOOST_TEST(!errorOf(session_token_codec({NewKey}), Renewed));
}

// Guards against accepting a session token of another client account.
BOOST_AUTO_TEST_CASE(of_another_account_are_refused) {
  session_token_codec Tokens({OldKey});
  BOOST_TEST(
      (errorOf(Tokens, *Tokens.encode(stateWith(1)),
               account_id("inspectors")) == session_error::ForeignAccount));
}

// Guards against a client that changes its token, for example lowers a position
// to read stale data.
BOOST_AUTO_TEST_CASE(with_any_changed_byte_are_refused) {
  session_token_codec Tokens({OldKey});
  std::string Token = *Tokens.encode(stateWith(3));
  std::string Bytes = *radishrelay::base::decodeBase64Url(Token);
  for (std::size_t Index = 0; Index < Bytes.size(); ++Index) {
    std::string Changed = Bytes;
    Changed[Index] = static_cast<char>(Changed[Index] ^ 1);
    BOOST_TEST(errorOf(Tokens, radishrelay::base::encodeBase64Url(Changed)));
  }
}

// Guards against a crash on arbitrary header values.
BOOST_AUTO_TEST_CASE(of_random_text_are_refused) {
  session_token_codec Tokens({OldKey});
  random_generator Random(20);
  for (int Round = 0; Round < 2000; ++Round) {
    std::string Text(Random.below(120), 'A');
    for (char &Letter : Text)
      Letter = static_cast<char>(Random.below(256));
    BOOST_TEST(errorOf(Tokens, Text));
    BOOST_TEST(errorOf(Tokens, radishrelay::base::encodeBase64Url(Text)));
  }
  BOOST_TEST((errorOf(Tokens, std::string(MaxSessionTokenBytes + 1, 'A')) ==
              session_error::Malformed));
}

// Guards against issuing an unsigned token when no key is configured.
BOOST_AUTO_TEST_CASE(are_not_issued_without_a_key) {
  auto Token = session_token_codec({}).encode(stateWith(1));
  BOOST_TEST((Token.error().Code == session_error::NoKey));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(sessions_with_many_groups)

// Guards against an evicted position that lets a replica answer with data older
// than the session's own write.
BOOST_AUTO_TEST_CASE(require_a_confirmed_primary_for_evicted_positions) {
  session_positions State = stateWith(MaxSessionGroups + 1);
  BOOST_TEST(State.Positions.size() == MaxSessionGroups);
  BOOST_TEST(State.requirementFor(groupNumber(0)).NeedsConfirmedPrimary);
  position_requirement Kept = State.requirementFor(groupNumber(1));
  BOOST_TEST((Kept == position_requirement{{2, 101}, false}));
}

// Guards against a token above the size limit, and against positions that are
// evicted for size without setting Overflowed.
BOOST_AUTO_TEST_CASE(stay_within_the_token_size_limit) {
  session_token_codec Tokens({OldKey});
  session_positions State = stateWith(0);
  for (char Letter = 'a'; Letter < 'a' + 12; ++Letter)
    State.merge(group_id(std::string(200, Letter)), {1, 1});
  std::string Token = *Tokens.encode(State);
  BOOST_TEST(Token.size() <= MaxSessionTokenBytes);
  session_positions Decoded = *Tokens.decode(Token, Installers);
  BOOST_TEST(Decoded.Overflowed);
  BOOST_TEST(!Decoded.Positions.empty());
}

// Guards against requiring less than the session has seen, over random
// histories: each group needs its highest position or a confirmed primary.
BOOST_AUTO_TEST_CASE(never_require_less_than_was_seen) {
  random_generator Random(21);
  session_token_codec Tokens({OldKey});
  session_positions State = stateWith(0);
  std::map<group_id, log_position> Seen;
  for (int Step = 0; Step < 3000; ++Step) {
    group_id Group = groupNumber(Random.below(24));
    log_position Position{1 + Random.below(3), Random.below(1000)};
    // A confirmed primary holds all positions of the group that the session has
    // seen.
    if (State.requirementFor(Group).NeedsConfirmedPrimary)
      Position = std::max(Position, Seen[Group]);
    State.merge(Group, Position);
    Seen[Group] = std::max(Seen[Group], Position);
    State = *Tokens.decode(*Tokens.encode(State), Installers);
    for (const auto &[Name, Highest] : Seen) {
      position_requirement Required = State.requirementFor(Name);
      bool IsCovered =
          Required.NeedsConfirmedPrimary || Required.Position >= Highest;
      BOOST_TEST(IsCovered);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
