#include "radishrelay/accounts/key_error.h"

#include <string>

namespace radishrelay::accounts {

namespace {

class key_category final : public std::error_category {
public:
  [[nodiscard]] const char *name() const noexcept override {
    return "radishrelay.key";
  }

  [[nodiscard]] std::string message(int Code) const override {
    switch (static_cast<key_error>(Code)) {
    case key_error::Missing:
      return "the request has no key";
    case key_error::Malformed:
      return "the key is not of the form rr_<keyid>_<secret>";
    case key_error::Unknown:
      return "the key is unknown or was withdrawn";
    case key_error::SecretWrong:
      return "the secret does not belong to the key id";
    case key_error::RecordMalformed:
      return "the configured key record is malformed or a duplicate";
    }
    return "unknown key error";
  }
};

} // namespace

const std::error_category &keyCategory() {
  static const key_category Category;
  return Category;
}

std::error_code make_error_code(key_error Error) {
  return {static_cast<int>(Error), keyCategory()};
}

} // namespace radishrelay::accounts
