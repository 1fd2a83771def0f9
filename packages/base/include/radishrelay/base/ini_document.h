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

/// The entries of an INI file in their order, with line numbers.
///
/// The INI readers of POCO and Boost drop the line numbers, which error
/// messages about settings must name.
struct ini_document {
  std::string FileName;
  std::vector<ini_entry> Entries;

  friend auto operator<=>(const ini_document &, const ini_document &) = default;
};

/// Parses \p Text. A line is empty, a comment (# or ;), a [section] or
/// "key = value". Fails with the file and line as peer.
expected<ini_document> parseIni(std::string_view Text,
                                const std::string &FileName);

/// Reads and parses the file.
expected<ini_document> readIniFile(const std::string &FileName);

} // namespace radishrelay::base

#endif
