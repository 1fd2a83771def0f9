#include "radishrelay/backend/backend_error.h"

#include <array>
#include <string>

namespace radishrelay::backend {

namespace {

constexpr std::array Messages = {"success",          "timed out",
                                 "connect failed",   "connection lost",
                                 "closed",           "statement failed",
                                 "connection busy",  "connection not open",
                                 "invalid statement"};

class category final : public std::error_category {
public:
  [[nodiscard]] const char *name() const noexcept override { return "backend"; }

  [[nodiscard]] std::string message(int Value) const override {
    auto Index = static_cast<std::size_t>(Value);
    return Index < Messages.size() ? Messages[Index] : "unknown error";
  }

  [[nodiscard]] std::error_condition
  default_error_condition(int Value) const noexcept override {
    if (Value == static_cast<int>(backend_error::TimedOut))
      return std::errc::timed_out;
    return {Value, *this};
  }
};

} // namespace

const std::error_category &backendCategory() {
  static const category Instance;
  return Instance;
}

std::error_code make_error_code(backend_error Error) {
  return {static_cast<int>(Error), backendCategory()};
}

} // namespace radishrelay::backend
