#include "radishrelay/groups/session_error.h"

#include <string>

namespace radishrelay::groups {

namespace {

class session_category final : public std::error_category {
public:
  [[nodiscard]] const char *name() const noexcept override {
    return "radishrelay.session";
  }

  [[nodiscard]] std::string message(int Value) const override {
    switch (static_cast<session_error>(Value)) {
    case session_error::Malformed:
      return "malformed session token";
    case session_error::Forged:
      return "session token with a wrong authentication code";
    case session_error::ForeignAccount:
      return "session token of another client account";
    case session_error::UnknownKey:
      return "session token signed with an unknown key";
    case session_error::TooLarge:
      return "session token exceeds its size limit";
    case session_error::NoKey:
      return "no session key configured";
    }
    return "unknown session error";
  }
};

} // namespace

const std::error_category &sessionCategory() {
  static const session_category Category;
  return Category;
}

std::error_code make_error_code(session_error Error) {
  return {static_cast<int>(Error), sessionCategory()};
}

} // namespace radishrelay::groups
