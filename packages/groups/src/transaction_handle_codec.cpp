#include "radishrelay/groups/transaction_handle_codec.h"

#include "radishrelay/groups/byte_reader.h"
#include "radishrelay/groups/byte_writer.h"
#include "radishrelay/groups/session_error.h"

#include <utility>

namespace radishrelay::groups {

namespace {

constexpr std::uint8_t FormatVersion = 1;

} // namespace

transaction_handle_codec::transaction_handle_codec(
    std::vector<signing_key> Keys)
    : Envelope("radishrelay transaction handle", std::move(Keys)) {}

base::expected<std::string>
transaction_handle_codec::encode(const transaction_id &Id) const {
  detail::byte_writer Writer;
  Writer.addByte(FormatVersion);
  if (!Writer.addText(Id.Host.str()))
    return base::failure{session_error::TooLarge, "encode transaction handle",
                         "", ""};
  Writer.addNumber(Id.Incarnation);
  Writer.addNumber(Id.Number);
  return Envelope.seal(Writer.bytes());
}

base::expected<transaction_id>
transaction_handle_codec::decode(std::string_view Text) const {
  base::expected<std::string> Payload = Envelope.open(Text);
  if (!Payload)
    return Payload.error();
  detail::byte_reader Reader(*Payload);
  std::uint8_t Version = Reader.byte();
  transaction_id Id;
  Id.Host = base::host_id(Reader.text());
  Id.Incarnation = Reader.number();
  Id.Number = Reader.number();
  if (Version != FormatVersion || !Reader.complete())
    return base::failure{session_error::Malformed, "decode transaction handle",
                         "", ""};
  return Id;
}

base::json transaction_handle_codec::dump() const {
  return {{"keys", Envelope.keyIds()}};
}

} // namespace radishrelay::groups
