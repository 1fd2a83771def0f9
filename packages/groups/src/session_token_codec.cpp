#include "radishrelay/groups/session_token_codec.h"

#include "radishrelay/groups/byte_reader.h"
#include "radishrelay/groups/byte_writer.h"
#include "radishrelay/groups/session_error.h"

#include <optional>
#include <utility>

namespace radishrelay::groups {

namespace {

constexpr std::uint8_t FormatVersion = 1;

std::optional<std::string> encodePayload(const session_positions &State) {
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

std::optional<session_positions> decodePayload(std::string_view Payload) {
  detail::byte_reader Reader(Payload);
  if (Reader.byte() != FormatVersion)
    return std::nullopt;
  session_positions State;
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

session_token_codec::session_token_codec(std::vector<signing_key> Keys)
    : Envelope("radishrelay session token", std::move(Keys)) {}

base::expected<std::string>
session_token_codec::encode(session_positions State) const {
  constexpr const char *Step = "encode session token";
  while (State.Positions.size() > MaxSessionGroups)
    State.evictOldest();
  while (true) {
    std::optional<std::string> Payload = encodePayload(State);
    if (!Payload)
      return failureOf(session_error::TooLarge, Step);
    base::expected<std::string> Token = Envelope.seal(*Payload);
    if (!Token || Token->size() <= MaxSessionTokenBytes)
      return Token;
    if (State.Positions.empty())
      return failureOf(session_error::TooLarge, Step);
    State.evictOldest();
  }
}

base::expected<session_positions>
session_token_codec::decode(std::string_view Text,
                            const base::account_id &Account) const {
  constexpr const char *Step = "decode session token";
  if (Text.size() > MaxSessionTokenBytes)
    return failureOf(session_error::Malformed, Step);
  base::expected<std::string> Payload = Envelope.open(Text);
  if (!Payload)
    return Payload.error();
  std::optional<session_positions> State = decodePayload(*Payload);
  if (!State)
    return failureOf(session_error::Malformed, Step);
  if (State->Account != Account)
    return failureOf(session_error::ForeignAccount, Step);
  return *State;
}

base::json session_token_codec::dump() const {
  return {{"keys", Envelope.keyIds()}};
}

} // namespace radishrelay::groups
