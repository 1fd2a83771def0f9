#include "radishrelay/groups/session_token.h"

#include "radishrelay/groups/byte_reader.h"
#include "radishrelay/groups/byte_writer.h"
#include "radishrelay/groups/session_error.h"

#include <optional>
#include <utility>

namespace radishrelay::groups {

namespace {

constexpr std::uint8_t FormatVersion = 1;

std::optional<std::string> payloadOf(const session_state &State) {
  detail::byte_writer Writer;
  Writer.addByte(FormatVersion);
  if (!Writer.addText(State.Account.str()))
    return std::nullopt;
  Writer.addNumber(static_cast<std::uint64_t>(State.IssuedAtMs));
  Writer.addByte(State.Overflowed ? 1 : 0);
  Writer.addByte(static_cast<std::uint8_t>(State.Positions.size()));
  for (const group_position &Entry : State.Positions) {
    if (!Writer.addText(Entry.Group.str()))
      return std::nullopt;
    Writer.addNumber(Entry.Position.Term);
    Writer.addNumber(Entry.Position.Offset);
  }
  return Writer.bytes();
}

std::optional<session_state> stateOf(std::string_view Payload) {
  detail::byte_reader Reader(Payload);
  if (Reader.byte() != FormatVersion)
    return std::nullopt;
  session_state State;
  State.Account = base::account_id(Reader.text());
  State.IssuedAtMs = static_cast<std::int64_t>(Reader.number());
  State.Overflowed = Reader.byte() != 0;
  std::size_t Count = Reader.byte();
  if (Count > MaxSessionGroups)
    return std::nullopt;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    group_position Entry;
    Entry.Group = base::group_id(Reader.text());
    Entry.Position.Term = Reader.number();
    Entry.Position.Offset = Reader.number();
    State.Positions.push_back(std::move(Entry));
  }
  if (!Reader.complete())
    return std::nullopt;
  return State;
}

base::failure failureOf(session_error Error, const char *Step) {
  return {Error, Step, "", ""};
}

} // namespace

session_token::session_token(std::vector<signing_key> Keys)
    : Envelope("radishrelay session token", std::move(Keys)) {}

base::expected<std::string> session_token::encode(session_state State) const {
  constexpr const char *Step = "encode session token";
  while (State.Positions.size() > MaxSessionGroups)
    State.forgetOldest();
  while (true) {
    std::optional<std::string> Payload = payloadOf(State);
    if (!Payload)
      return failureOf(session_error::TooLarge, Step);
    base::expected<std::string> Token = Envelope.seal(*Payload);
    if (!Token || Token->size() <= MaxSessionTokenBytes)
      return Token;
    if (State.Positions.empty())
      return failureOf(session_error::TooLarge, Step);
    State.forgetOldest();
  }
}

base::expected<session_state>
session_token::decode(std::string_view Text,
                      const base::account_id &Account) const {
  constexpr const char *Step = "decode session token";
  if (Text.size() > MaxSessionTokenBytes)
    return failureOf(session_error::Malformed, Step);
  base::expected<std::string> Payload = Envelope.open(Text);
  if (!Payload)
    return Payload.error();
  std::optional<session_state> State = stateOf(*Payload);
  if (!State)
    return failureOf(session_error::Malformed, Step);
  if (State->Account != Account)
    return failureOf(session_error::ForeignAccount, Step);
  return *State;
}

base::json session_token::dump() const { return {{"keys", Envelope.keyIds()}}; }

} // namespace radishrelay::groups
