#include "statement_scan.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace radishrelay::fleet::detail {

namespace {

constexpr std::array<std::string_view, 4> ReadStarts = {"SELECT", "WITH",
                                                        "VALUES", "TABLE"};
// INSERT, UPDATE and DELETE also occur inside WITH, UPDATE after FOR.
constexpr std::array<std::string_view, 17> WriteWords = {
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

class scanner {
public:
  explicit scanner(std::string_view Text) : Text(Text) {}

  statement_scan run() {
    while (Position < Text.size())
      step();
    return std::move(Scan);
  }

private:
  [[nodiscard]] char at(std::size_t Offset = 0) const {
    std::size_t Index = Position + Offset;
    return Index < Text.size() ? Text[Index] : '\0';
  }

  void step() {
    char Character = at();
    if (std::isspace(static_cast<unsigned char>(Character))) {
      ++Position;
      return;
    }
    if (Character == '-' && at(1) == '-')
      return skipLine();
    if (Character == '/' && at(1) == '*')
      return skipComment();
    if (EndSeen)
      Scan.SeveralStatements = true;
    if (Character == '\'' || Character == '"')
      return skipQuoted(Character, false);
    if (Character == '$')
      return readDollar();
    if (isWordCharacter(Character))
      return readWord();
    EndSeen = EndSeen || Character == ';';
    ++Position;
  }

  void skipLine() {
    Position = std::min(Text.find('\n', Position), Text.size());
  }

  void skipComment() {
    int Depth = 0;
    while (Position < Text.size()) {
      if (at() == '/' && at(1) == '*') {
        ++Depth;
        Position += 2;
      } else if (at() == '*' && at(1) == '/') {
        Position += 2;
        if (--Depth == 0)
          return;
      } else {
        ++Position;
      }
    }
    Scan.Unterminated = true;
  }

  void skipQuoted(char Quote, bool Escapes) {
    ++Position;
    while (Position < Text.size()) {
      bool Escaped = Escapes && at() == '\\';
      bool Doubled = at() == Quote && at(1) == Quote;
      if (!Escaped && !Doubled && at() == Quote) {
        ++Position;
        return;
      }
      Position += Escaped || Doubled ? 2 : 1;
    }
    Scan.Unterminated = true;
  }

  void readDollar() {
    if (isDigit(at(1)))
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
    Scan.Unterminated = Scan.Unterminated || Close == std::string_view::npos;
    Position =
        Close == std::string_view::npos ? Text.size() : Close + Tag.size();
  }

  void readParameter() {
    // PostgreSQL has at most 65,535 parameters.
    constexpr std::int64_t MostParameters = 65'535;
    std::int64_t Number = 0;
    for (++Position; isDigit(at()); ++Position)
      Number = std::min(Number * 10 + (at() - '0'), MostParameters + 1);
    Scan.Parameters.insert(Number);
  }

  void readWord() {
    std::size_t Begin = Position;
    while (isWordCharacter(at()) || at() == '$')
      ++Position;
    std::string Word(Text.substr(Begin, Position - Begin));
    std::transform(Word.begin(), Word.end(), Word.begin(), [](char Character) {
      return static_cast<char>(
          std::toupper(static_cast<unsigned char>(Character)));
    });
    if (at() == '\'' && Word == "E")
      return skipQuoted('\'', true);
    Scan.Words.push_back(std::move(Word));
  }

  std::string_view Text;
  std::size_t Position = 0;
  bool EndSeen = false;
  statement_scan Scan;
};

} // namespace

statement_scan scanStatement(std::string_view Text) {
  return scanner(Text).run();
}

std::string findWriteWord(const statement_scan &Scan) {
  if (Scan.Words.empty())
    return {};
  const std::string &First = Scan.Words.front();
  if (std::find(ReadStarts.begin(), ReadStarts.end(), First) ==
      ReadStarts.end())
    return First;
  for (const std::string &Word : Scan.Words)
    if (std::find(WriteWords.begin(), WriteWords.end(), Word) !=
        WriteWords.end())
      return Word;
  return {};
}

} // namespace radishrelay::fleet::detail
