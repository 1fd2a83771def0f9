#ifndef RADISHRELAY_GROUPS_BYTE_WRITER_H
#define RADISHRELAY_GROUPS_BYTE_WRITER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace radishrelay::groups::detail {

/// Encodes numbers and short strings as a compact byte string, which
/// byte_reader decodes.
class byte_writer {
public:
  void addByte(std::uint8_t Value) { Bytes += static_cast<char>(Value); }

  /// Appends 8 bytes, big-endian.
  void addNumber(std::uint64_t Value) {
    for (int Shift = 56; Shift >= 0; Shift -= 8)
      addByte(static_cast<std::uint8_t>(Value >> Shift));
  }

  /// Appends a length byte and the content. Appends nothing and returns false
  /// when \p Text is longer than 255 bytes.
  bool addText(std::string_view Text) {
    if (Text.size() > 255)
      return false;
    addByte(static_cast<std::uint8_t>(Text.size()));
    Bytes += Text;
    return true;
  }

  [[nodiscard]] const std::string &bytes() const { return Bytes; }

private:
  std::string Bytes;
};

} // namespace radishrelay::groups::detail

#endif
