#include "statement_scan.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace radishrelay::fleet::detail {

namespace {

constexpr std::array<std::string_view, 4> ReadStartKeywords = {
    "SELECT", "WITH", "VALUES", "TABLE"};
// INSERT, UPDATE and DELETE may also occur inside WITH, and UPDATE after FOR,
// so the whole statement is searched.
constexpr std::array<std::string_view, 17> WriteKeywords = {
    "INSERT", "UPDATE", "DELETE", "MERGE",  "INTO",   "CREATE",
    "DROP",   "ALTER",  "GRANT",  "LOCK",   "REVOKE", "TRUNCATE",
    "CALL",   "COPY",   "DO",     "SETVAL", "NEXTVAL"};

bool isWordCharacter(char Character) {
  auto Byte = static_cast<unsigned char>(Character);
  return std::isalnum(Byte) || Character == '_' || Byte >= 0x80;
}

bool isDigit(char Character) {
  return std::isdigit(static_cast<unsigned char>(Character));
}

/// Lexical scanner for PostgreSQL statements.
class scanner {
public:
  explicit scanner(std::string_view Text) : Text(Text) {}

  statement_scan run() {
    while (Position < Text.size())
      scanToken();
    return std::move(Scan);
  }

private:
  [[nodiscard]] char peek(std::size_t Offset = 0) const {
    std::size_t Index = Position + Offset;
    return Index < Text.size() ? Text[Index] : '\0';
  }

  void scanToken() {
    char Character = peek();
    if (std::isspace(static_cast<unsigned char>(Character))) {
      ++Position;
      return;
    }
    if (Character == '-' && peek(1) == '-')
      return skipLineComment();
    if (Character == '/' && peek(1) == '*')
      return skipBlockComment();
    if (SemicolonSeen)
      Scan.HasMultipleStatements = true;
    if (Character == '\'' || Character == '"')
      return skipQuoted(Character, false);
    if (Character == '$')
      return readParameterOrDollarQuote();
    if (isWordCharacter(Character))
      return readWord();
    SemicolonSeen = SemicolonSeen || Character == ';';
    ++Position;
  }

  void skipLineComment() {
    Position = std::min(Text.find('\n', Position), Text.size());
  }

  void skipBlockComment() {
    int Depth = 0;
    while (Position < Text.size()) {
      if (peek() == '/' && peek(1) == '*') {
        ++Depth;
        Position += 2;
      } else if (peek() == '*' && peek(1) == '/') {
        Position += 2;
        if (--Depth == 0)
          return;
      } else {
        ++Position;
      }
    }
    Scan.IsUnterminated = true;
  }

  void skipQuoted(char Quote, bool HasBackslashEscapes) {
    ++Position;
    while (Position < Text.size()) {
      bool Escaped = HasBackslashEscapes && peek() == '\\';
      bool Doubled = peek() == Quote && peek(1) == Quote;
      if (!Escaped && !Doubled && peek() == Quote) {
        ++Position;
        return;
      }
      Position += Escaped || Doubled ? 2 : 1;
    }
    Scan.IsUnterminated = true;
  }

  void readParameterOrDollarQuote() {
    if (isDigit(peek(1)))
      return readParameter();
    std::size_t End = Position + 1;
    while (End < Text.size() && isWordCharacter(Text[End]))
      ++End;
    if (End >= Text.size() || Text[End] != '$') {
      ++Position;
      return;
    }
    std::string_view Tag = Text.substr(Position, End + 1 - Position);
    std::size_t Close = Text.find(Tag, End + 1);
    Scan.IsUnterminated =
        Scan.IsUnterminated || Close == std::string_view::npos;
    Position =
        Close == std::string_view::npos ? Text.size() : Close + Tag.size();
  }

  void readParameter() {
    // PostgreSQL allows at most 65,535 parameters; clamping larger numbers to
    // one more prevents overflow.
    constexpr std::int64_t MaxParameters = 65'535;
    std::int64_t Number = 0;
    for (++Position; isDigit(peek()); ++Position)
      Number = std::min(Number * 10 + (peek() - '0'), MaxParameters + 1);
    Scan.Parameters.insert(Number);
  }

  void readWord() {
    std::size_t Begin = Position;
    while (isWordCharacter(peek()) || peek() == '$')
      ++Position;
    std::string Word(Text.substr(Begin, Position - Begin));
    std::transform(Word.begin(), Word.end(), Word.begin(), [](char Character) {
      return static_cast<char>(
          std::toupper(static_cast<unsigned char>(Character)));
    });
    if (peek() == '\'' && Word == "E")
      return skipQuoted('\'', true);
    Scan.Words.push_back(std::move(Word));
  }

  std::string_view Text;
  std::size_t Position = 0;
  bool SemicolonSeen = false;
  statement_scan Scan;
};

} // namespace

statement_scan scanStatement(std::string_view Text) {
  return scanner(Text).run();
}

std::string findWriteKeyword(const statement_scan &Scan) {
  if (Scan.Words.empty())
    return {};
  const std::string &First = Scan.Words.front();
  if (std::find(ReadStartKeywords.begin(), ReadStartKeywords.end(), First) ==
      ReadStartKeywords.end())
    return First;
  for (const std::string &Word : Scan.Words)
    if (std::find(WriteKeywords.begin(), WriteKeywords.end(), Word) !=
        WriteKeywords.end())
      return Word;
  return {};
}

} // namespace radishrelay::fleet::detail
