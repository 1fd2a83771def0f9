#ifndef RADISHRELAY_BASE_INI_DOCUMENT_H
#define RADISHRELAY_BASE_INI_DOCUMENT_H

#include "radishrelay/base/expected.h"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace radishrelay::base {

/// One "key = value" line of an INI file.
struct ini_entry {
  std::string Section;
  std::string Key;
  std::string Value;
  int Line = 0;

  friend auto operator<=>(const ini_entry &, const ini_entry &) = default;
};

/// The entries of an INI file in file order, with line numbers.
///
/// The INI parsers of POCO and Boost do not report line numbers, which error
/// messages about settings contain.
struct ini_document {
  std::string FileName;
  std::vector<ini_entry> Entries;

  friend auto operator<=>(const ini_document &, const ini_document &) = default;
};

/// Parses \p Text. Each line is empty, a comment (# or ;), a [section] or
/// "key = value" within a section. The peer of a failure is "file:line".
expected<ini_document> parseIni(std::string_view Text,
                                const std::string &FileName);

/// Reads and parses a file. Fails with settings_error::FileUnreadable if it
/// cannot be opened, otherwise as parseIni.
expected<ini_document> readIniFile(const std::string &FileName);

} // namespace radishrelay::base

#endif
