#ifndef RADISHRELAY_GROUPS_BYTE_READER_H
#define RADISHRELAY_GROUPS_BYTE_READER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace radishrelay::groups::detail {

/// Decodes a byte string that byte_writer has encoded, field by field.
///
/// After the first read past the end all further reads return zero or an empty
/// string, and ok() is false.
class byte_reader {
public:
  explicit byte_reader(std::string_view Bytes) : Rest(Bytes) {}

  std::uint8_t byte() {
    std::string_view Taken = take(1);
    return Taken.empty() ? 0 : static_cast<std::uint8_t>(Taken[0]);
  }

  /// Reads 8 bytes, big-endian.
  std::uint64_t number() {
    std::uint64_t Value = 0;
    for (char Byte : take(8))
      Value = (Value << 8) | static_cast<std::uint8_t>(Byte);
    return Value;
  }

  /// Reads a length byte and as many bytes of content.
  std::string text() { return std::string(take(byte())); }

  /// Returns false once a read went past the end.
  [[nodiscard]] bool ok() const { return Ok; }
  /// Returns true when every byte was read and no read went past the end.
  [[nodiscard]] bool complete() const { return Ok && Rest.empty(); }
  /// Returns the bytes that have not been read yet.
  [[nodiscard]] std::string_view rest() const { return Rest; }

private:
  std::string_view take(std::size_t Count) {
    Ok = Ok && Rest.size() >= Count;
    if (!Ok)
      return {};
    std::string_view Taken = Rest.substr(0, Count);
    Rest.remove_prefix(Count);
    return Taken;
  }

  std::string_view Rest;
  bool Ok = true;
};

} // namespace radishrelay::groups::detail

#endif
