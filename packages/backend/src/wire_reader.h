#ifndef RADISHRELAY_BACKEND_SRC_WIRE_READER_H
#define RADISHRELAY_BACKEND_SRC_WIRE_READER_H

#include "radishrelay/backend/statement.h"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace radishrelay::backend::detail {

/// A client's message does not follow the protocol.
class protocol_error : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Reads the fields of one PostgreSQL message. Each method throws
/// protocol_error when the message is too short.
class wire_reader {
public:
  explicit wire_reader(std::string_view Bytes) : Rest(Bytes) {}

  [[nodiscard]] bool atEnd() const { return Rest.empty(); }
  char byte();
  std::uint16_t int16();
  std::uint32_t int32();
  /// Reads up to a zero byte.
  std::string text();
  /// Reads a length and that many bytes; length -1 is NULL.
  sql_value value();

private:
  std::string_view bytes(std::size_t Size);

  std::string_view Rest;
};

} // namespace radishrelay::backend::detail

#endif
