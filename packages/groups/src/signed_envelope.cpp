#include "radishrelay/groups/signed_envelope.h"

#include "radishrelay/base/digest.h"
#include "radishrelay/groups/byte_reader.h"
#include "radishrelay/groups/byte_writer.h"
#include "radishrelay/groups/session_error.h"

#include <utility>

namespace radishrelay::groups {

namespace {

constexpr std::size_t AuthenticationCodeBytes = 32;

base::failure openFailure(session_error Error, const std::string &Purpose) {
  return {Error, "open " + Purpose, "", ""};
}

} // namespace

signed_envelope::signed_envelope(std::string Purpose,
                                 std::vector<signing_key> Keys)
    : Purpose(std::move(Purpose)), Keys(std::move(Keys)) {}

base::expected<std::string>
signed_envelope::seal(std::string_view Payload) const {
  if (Keys.empty())
    return base::failure{session_error::NoKey, "seal " + Purpose, "", ""};
  detail::byte_writer Writer;
  if (!Writer.addText(Keys.front().Id))
    return base::failure{session_error::TooLarge, "seal " + Purpose, "", ""};
  std::string Message = Writer.bytes() + std::string(Payload);
  return base::encodeBase64Url(Message +
                               authenticationCode(Keys.front(), Message));
}

base::expected<std::string> signed_envelope::open(std::string_view Text) const {
  std::optional<std::string> Bytes = base::decodeBase64Url(Text);
  if (!Bytes || Bytes->size() < AuthenticationCodeBytes)
    return openFailure(session_error::Malformed, Purpose);
  std::string_view All = *Bytes;
  std::string_view Message =
      All.substr(0, All.size() - AuthenticationCodeBytes);
  std::string_view Code = All.substr(Message.size());
  detail::byte_reader Reader(Message);
  std::string KeyId = Reader.text();
  if (!Reader.ok())
    return openFailure(session_error::Malformed, Purpose);
  const signing_key *Key = findKey(KeyId);
  if (Key == nullptr)
    return openFailure(session_error::UnknownKey, Purpose);
  if (!base::constantTimeEqual(authenticationCode(*Key, Message), Code))
    return openFailure(session_error::Forged, Purpose);
  return std::string(Reader.rest());
}

std::vector<std::string> signed_envelope::keyIds() const {
  std::vector<std::string> Ids;
  Ids.reserve(Keys.size());
  for (const signing_key &Key : Keys)
    Ids.push_back(Key.Id);
  return Ids;
}

std::string
signed_envelope::authenticationCode(const signing_key &Key,
                                    std::string_view Message) const {
  std::string Input = Purpose;
  Input += '\0';
  Input += Message;
  return base::hmacSha256(Key.Secret, Input);
}

const signing_key *signed_envelope::findKey(std::string_view Id) const {
  for (const signing_key &Key : Keys)
    if (Key.Id == Id)
      return &Key;
  return nullptr;
}

} // namespace radishrelay::groups
