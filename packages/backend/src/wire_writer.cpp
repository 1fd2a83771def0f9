#include "wire_writer.h"

#include <utility>

namespace radishrelay::backend::detail {

namespace {

constexpr std::size_t LengthSize = 4;
constexpr std::uint32_t NullLength = 0xFFFFFFFFU;
/// Type OID of text; all values are sent as text.
constexpr std::uint32_t TextOid = 25;
/// Size of a type with variable length, as a 16-bit -1.
constexpr std::size_t VariableSize = 0xFFFF;

char byteOf(std::size_t Value, unsigned Shift) {
  return static_cast<char>((Value >> Shift) & 0xFFU);
}

} // namespace

void wire_writer::begin(char Type) {
  Bytes.push_back(Type);
  LengthAt = Bytes.size();
  Bytes.append(LengthSize, '\0');
}

void wire_writer::end() {
  std::size_t Length = Bytes.size() - LengthAt;
  for (unsigned Index = 0; Index < LengthSize; ++Index)
    Bytes[LengthAt + Index] = byteOf(Length, 24 - 8 * Index);
}

void wire_writer::empty(char Type) {
  begin(Type);
  end();
}

void wire_writer::int16(std::size_t Value) {
  Bytes.push_back(byteOf(Value, 8));
  Bytes.push_back(byteOf(Value, 0));
}

void wire_writer::int32(std::uint32_t Value) {
  int16(Value >> 16U);
  int16(Value);
}

void wire_writer::text(std::string_view Value) {
  Bytes.append(Value);
  Bytes.push_back('\0');
}

void wire_writer::value(const sql_value &Value) {
  if (!Value) {
    int32(NullLength);
    return;
  }
  int32(static_cast<std::uint32_t>(Value->size()));
  Bytes.append(*Value);
}

void wire_writer::authenticationOk() {
  begin('R');
  int32(0);
  end();
}

void wire_writer::parameterStatus(std::string_view Name,
                                  std::string_view Value) {
  begin('S');
  text(Name);
  text(Value);
  end();
}

void wire_writer::backendKeyData(std::uint32_t Process, std::uint32_t Secret) {
  begin('K');
  int32(Process);
  int32(Secret);
  end();
}

void wire_writer::readyForQuery(char Status) {
  begin('Z');
  Bytes.push_back(Status);
  end();
}

void wire_writer::parameterDescription(std::size_t Count) {
  begin('t');
  int16(Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    int32(TextOid);
  end();
}

void wire_writer::rowDescription(const std::vector<std::string> &Columns) {
  begin('T');
  int16(Columns.size());
  for (const std::string &Column : Columns) {
    text(Column);
    int32(0); // table
    int16(0); // column number in the table
    int32(TextOid);
    int16(VariableSize);
    int32(NullLength); // no type modifier
    int16(0);          // text format
  }
  end();
}

void wire_writer::dataRow(const std::vector<sql_value> &Row) {
  begin('D');
  int16(Row.size());
  for (const sql_value &Value : Row)
    value(Value);
  end();
}

void wire_writer::commandComplete(std::string_view Tag) {
  begin('C');
  text(Tag);
  end();
}

void wire_writer::errorResponse(const sql_error &Error,
                                std::string_view Severity) {
  begin('E');
  Bytes.push_back('S');
  text(Severity);
  Bytes.push_back('V');
  text(Severity);
  Bytes.push_back('C');
  text(Error.SqlState);
  Bytes.push_back('M');
  text(Error.Message);
  Bytes.push_back('\0');
  end();
}

std::string wire_writer::take() { return std::exchange(Bytes, {}); }

} // namespace radishrelay::backend::detail
