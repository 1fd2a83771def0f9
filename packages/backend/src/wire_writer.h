#ifndef RADISHRELAY_BACKEND_SRC_WIRE_WRITER_H
#define RADISHRELAY_BACKEND_SRC_WIRE_WRITER_H

#include "radishrelay/backend/statement.h"
#include "sql_error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace radishrelay::backend::detail {

/// Appends messages of a PostgreSQL server (protocol 3.0) to a buffer.
class wire_writer {
public:
  void authenticationOk();
  void parameterStatus(std::string_view Name, std::string_view Value);
  void backendKeyData(std::uint32_t Process, std::uint32_t Secret);
  /// \p Status is I (idle), T (in transaction) or E (failed transaction).
  void readyForQuery(char Status);
  void parseComplete() { empty('1'); }
  void bindComplete() { empty('2'); }
  void closeComplete() { empty('3'); }
  void noData() { empty('n'); }
  void emptyQueryResponse() { empty('I'); }
  void parameterDescription(std::size_t Count);
  void rowDescription(const std::vector<std::string> &Columns);
  void dataRow(const std::vector<sql_value> &Row);
  void commandComplete(std::string_view Tag);
  /// \p Severity is ERROR or FATAL.
  void errorResponse(const sql_error &Error, std::string_view Severity);

  [[nodiscard]] bool isEmpty() const { return Bytes.empty(); }
  /// Returns the messages written since the last call.
  std::string take();

private:
  void begin(char Type);
  void end();
  void empty(char Type);
  void int16(std::size_t Value);
  void int32(std::uint32_t Value);
  void text(std::string_view Value);
  void value(const sql_value &Value);

  std::string Bytes;
  std::size_t LengthAt = 0;
};

} // namespace radishrelay::backend::detail

#endif
