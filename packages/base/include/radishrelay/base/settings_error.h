#ifndef RADISHRELAY_BASE_SETTINGS_ERROR_H
#define RADISHRELAY_BASE_SETTINGS_ERROR_H

#include <system_error>

namespace radishrelay::base {

/// Errors in a settings file.
enum class settings_error {
  FileUnreadable = 1,
  LineMalformed,
  SectionUnknown,
  KeyUnknown,
  KeyRepeated,
  KeyMissing,
  ValueMalformed,
  ValueOutOfRange,
};

const std::error_category &settingsCategory();

std::error_code make_error_code(settings_error Error);

} // namespace radishrelay::base

template <>
struct std::is_error_code_enum<radishrelay::base::settings_error>
    : std::true_type {};

#endif
