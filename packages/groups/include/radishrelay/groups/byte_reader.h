#ifndef RADISHRELAY_GROUPS_BYTE_READER_H
#define RADISHRELAY_GROUPS_BYTE_READER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace radishrelay::groups::detail {

/// Reads what byte_writer has written. After the first read past the end all
/// further reads return zero values and ok() is false.
class byte_reader {
public:
  explicit byte_reader(std::string_view Bytes) : Rest(Bytes) {}

  std::uint8_t byte() {
    std::string_view Taken = take(1);
    return Taken.empty() ? 0 : static_cast<std::uint8_t>(Taken[0]);
  }

  std::uint64_t number() {
    std::uint64_t Value = 0;
    for (char Byte : take(8))
      Value = (Value << 8) | static_cast<std::uint8_t>(Byte);
    return Value;
  }

  std::string text() { return std::string(take(byte())); }

  [[nodiscard]] bool ok() const { return Ok; }
  /// True when all bytes were read and none was missing.
  [[nodiscard]] bool complete() const { return Ok && Rest.empty(); }
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
