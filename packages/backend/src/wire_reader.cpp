#include "wire_reader.h"

namespace radishrelay::backend::detail {

namespace {

constexpr std::uint32_t NullLength = 0xFFFFFFFFU;

} // namespace

std::string_view wire_reader::bytes(std::size_t Size) {
  if (Size > Rest.size())
    throw protocol_error("message too short");
  std::string_view Field = Rest.substr(0, Size);
  Rest.remove_prefix(Size);
  return Field;
}

char wire_reader::byte() { return bytes(1).front(); }

std::uint16_t wire_reader::int16() {
  std::string_view Field = bytes(2);
  auto High = static_cast<unsigned char>(Field[0]);
  auto Low = static_cast<unsigned char>(Field[1]);
  return static_cast<std::uint16_t>((High << 8U) | Low);
}

std::uint32_t wire_reader::int32() {
  std::uint32_t High = int16();
  std::uint32_t Low = int16();
  return (High << 16U) | Low;
}

std::string wire_reader::text() {
  std::size_t End = Rest.find('\0');
  if (End == std::string_view::npos)
    throw protocol_error("string without end");
  std::string Text(bytes(End));
  bytes(1);
  return Text;
}

sql_value wire_reader::value() {
  std::uint32_t Size = int32();
  if (Size == NullLength)
    return std::nullopt;
  return std::string(bytes(Size));
}

} // namespace radishrelay::backend::detail
