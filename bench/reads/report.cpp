#include "report.h"

#include <algorithm>
#include <iomanip>
#include <vector>

namespace radishrelay::bench {

namespace {

std::string textOf(const base::json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

} // namespace

void printTable(std::ostream &Out, const std::string &Title,
                const base::json &Rows) {
  Out << Title << "\n\n";
  std::vector<std::vector<std::string>> Lines(1);
  for (const auto &Member : Rows.front().items())
    Lines[0].push_back(Member.key());
  for (const base::json &Row : Rows) {
    Lines.emplace_back();
    for (const base::json &Value : Row)
      Lines.back().push_back(textOf(Value));
  }
  std::vector<std::size_t> Widths(Lines[0].size());
  for (const auto &Line : Lines)
    for (std::size_t Column = 0; Column < Line.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Line[Column].size());
  for (const auto &Line : Lines) {
    for (std::size_t Column = 0; Column < Line.size(); ++Column)
      Out << std::setw(static_cast<int>(Widths[Column])) << Line[Column]
          << "  ";
    Out << "\n";
  }
  Out << "\n";
}

} // namespace radishrelay::bench
