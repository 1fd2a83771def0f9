#include "radishrelay/base/ini_document.h"

#include "radishrelay/base/settings_error.h"

#include <Poco/String.h>

#include <fstream>
#include <iterator>
#include <sstream>

namespace radishrelay::base {

namespace {

failure lineFailure(const std::string &FileName, int Line,
                    const std::string &Text) {
  return {make_error_code(settings_error::LineMalformed), "parse settings",
          FileName + ":" + std::to_string(Line), "\"" + Text + "\""};
}

bool isIgnored(const std::string &Line) {
  return Line.empty() || Line.front() == '#' || Line.front() == ';';
}

bool isSection(const std::string &Line) {
  return Line.size() > 2 && Line.front() == '[' && Line.back() == ']';
}

} // namespace

expected<ini_document> parseIni(std::string_view Text,
                                const std::string &FileName) {
  ini_document Document{FileName, {}};
  std::istringstream Input{std::string(Text)};
  std::string Section;
  std::string Raw;
  for (int Line = 1; std::getline(Input, Raw); ++Line) {
    std::string Trimmed = Poco::trim(Raw);
    if (isIgnored(Trimmed))
      continue;
    if (isSection(Trimmed)) {
      Section = Poco::trim(Trimmed.substr(1, Trimmed.size() - 2));
      continue;
    }
    std::size_t Equals = Trimmed.find('=');
    if (Equals == std::string::npos || Equals == 0 || Section.empty())
      return lineFailure(FileName, Line, Trimmed);
    std::string Key = Poco::trim(Trimmed.substr(0, Equals));
    std::string Value = Poco::trim(Trimmed.substr(Equals + 1));
    Document.Entries.push_back({Section, Key, Value, Line});
  }
  return Document;
}

expected<ini_document> readIniFile(const std::string &FileName) {
  std::ifstream Input(FileName);
  if (!Input)
    return failure{make_error_code(settings_error::FileUnreadable),
                   "read settings", FileName, ""};
  std::string Text{std::istreambuf_iterator<char>(Input), {}};
  return parseIni(Text, FileName);
}

} // namespace radishrelay::base
