#include "statement_kind.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace radishrelay::backend::detail {

namespace {

struct keyword {
  std::string_view Word;
  statement_kind Kind;
};

constexpr std::array Keywords = {
    keyword{"BEGIN", statement_kind::Begin},
    keyword{"START", statement_kind::Begin},
    keyword{"COMMIT", statement_kind::Commit},
    keyword{"END", statement_kind::Commit},
    keyword{"ROLLBACK", statement_kind::Rollback},
    keyword{"ABORT", statement_kind::Rollback},
    keyword{"DISCARD", statement_kind::NoOperation},
    keyword{"SET", statement_kind::NoOperation},
    keyword{"PRAGMA", statement_kind::Unsupported},
    keyword{"ATTACH", statement_kind::Unsupported},
    keyword{"DETACH", statement_kind::Unsupported},
    keyword{"VACUUM", statement_kind::Unsupported},
    keyword{"SAVEPOINT", statement_kind::Unsupported},
    keyword{"RELEASE", statement_kind::Unsupported},
};

constexpr std::array GroupCalls = {
    keyword{"group_status", statement_kind::GroupStatus},
    keyword{"group_raise_term", statement_kind::GroupRaiseTerm},
    keyword{"group_promote", statement_kind::GroupPromote},
};

bool isSpace(char Byte) {
  return std::isspace(static_cast<unsigned char>(Byte)) != 0;
}

bool isLetter(char Byte) {
  return std::isalpha(static_cast<unsigned char>(Byte)) != 0;
}

std::string_view skipSpace(std::string_view Text) {
  auto Start = std::find_if_not(Text.begin(), Text.end(), isSpace);
  return Text.substr(static_cast<std::size_t>(Start - Text.begin()));
}

/// "SELECT NAME(" gives the kind of the group call NAME.
statement_kind classifySelect(std::string_view AfterSelect) {
  std::string_view Call = skipSpace(AfterSelect);
  for (const keyword &Group : GroupCalls) {
    bool IsCall = Call.starts_with(Group.Word) &&
                  skipSpace(Call.substr(Group.Word.size())).starts_with('(');
    if (IsCall)
      return Group.Kind;
  }
  return statement_kind::Sql;
}

/// Returns the offset after the quoted text or comment that starts at \p At,
/// or \p At when none does.
std::size_t skipQuoted(std::string_view Text, std::size_t At) {
  std::string_view Rest = Text.substr(At);
  std::string_view End;
  std::size_t OpeningSize = 1;
  if (Rest.starts_with('\''))
    End = "'";
  else if (Rest.starts_with('"'))
    End = "\"";
  else if (Rest.starts_with("--"))
    End = "\n";
  else if (Rest.starts_with("/*"))
    End = "*/", OpeningSize = 2;
  else
    return At;
  std::size_t Found = Text.find(End, At + OpeningSize);
  return Found == Text.npos ? Text.size() : Found + End.size();
}

} // namespace

std::string firstWord(std::string_view Text) {
  Text = skipSpace(Text);
  auto End = std::find_if_not(Text.begin(), Text.end(), isLetter);
  std::string Word(Text.begin(), End);
  for (char &Letter : Word)
    Letter =
        static_cast<char>(std::toupper(static_cast<unsigned char>(Letter)));
  return Word;
}

statement_kind classify(std::string_view Text) {
  Text = skipSpace(Text);
  std::string Word = firstWord(Text);
  if (Word.empty() && (Text.empty() || Text == ";"))
    return statement_kind::Empty;
  if (Word == "SELECT")
    return classifySelect(Text.substr(Word.size()));
  for (const keyword &Keyword : Keywords)
    if (Word == Keyword.Word)
      return Keyword.Kind;
  return statement_kind::Sql;
}

std::vector<std::string> splitStatements(std::string_view Text) {
  std::vector<std::string> Parts;
  std::size_t Start = 0;
  std::size_t At = 0;
  while (At < Text.size()) {
    std::size_t After = skipQuoted(Text, At);
    if (After != At) {
      At = After;
      continue;
    }
    if (Text[At] == ';') {
      Parts.emplace_back(Text.substr(Start, At - Start));
      Start = At + 1;
    }
    ++At;
  }
  Parts.emplace_back(Text.substr(Start));
  std::erase_if(Parts,
                [](const std::string &P) { return skipSpace(P).empty(); });
  return Parts;
}

} // namespace radishrelay::backend::detail
