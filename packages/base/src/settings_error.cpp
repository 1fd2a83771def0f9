#include "radishrelay/base/settings_error.h"

#include <string>

namespace radishrelay::base {

namespace {

class settings_category final : public std::error_category {
public:
  [[nodiscard]] const char *name() const noexcept override {
    return "radishrelay.settings";
  }

  [[nodiscard]] std::string message(int Code) const override {
    switch (static_cast<settings_error>(Code)) {
    case settings_error::FileUnreadable:
      return "the file cannot be read";
    case settings_error::LineMalformed:
      return "the line is neither a comment, a [section] nor key = value";
    case settings_error::SectionUnknown:
      return "unknown section";
    case settings_error::KeyUnknown:
      return "unknown key";
    case settings_error::KeyRepeated:
      return "duplicate key";
    case settings_error::KeyMissing:
      return "a required key is missing";
    case settings_error::ValueMalformed:
      return "malformed value";
    case settings_error::ValueOutOfRange:
      return "the value is out of range";
    }
    return "unknown settings error";
  }
};

} // namespace

const std::error_category &settingsCategory() {
  static const settings_category Category;
  return Category;
}

std::error_code make_error_code(settings_error Error) {
  return {static_cast<int>(Error), settingsCategory()};
}

} // namespace radishrelay::base
