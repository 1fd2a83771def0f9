#ifndef RADISHRELAY_BASE_LOGGED_TEXT_H
#define RADISHRELAY_BASE_LOGGED_TEXT_H

#include <cstddef>
#include <string>

namespace radishrelay::base {

/// Maximum length of a text in a log line that another process chose.
constexpr std::size_t MaxLoggedBytes = 128;

/// Returns the start of \p Text, so that peers cannot make log lines long.
inline std::string loggedText(const std::string &Text) {
  return Text.substr(0, MaxLoggedBytes);
}

} // namespace radishrelay::base

#endif
