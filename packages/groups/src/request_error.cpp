#include "radishrelay/groups/request_error.h"

#include <string>

namespace radishrelay::groups {

namespace {

class request_category final : public std::error_category {
public:
  [[nodiscard]] const char *name() const noexcept override {
    return "radishrelay.request";
  }

  [[nodiscard]] std::string message(int Value) const override {
    switch (static_cast<request_error>(Value)) {
    case request_error::StatementFailed:
      return "the backend server refused the statement";
    case request_error::KeyReused:
      return "the idempotency key was used with another request";
    case request_error::OutcomeUnknown:
      return "the outcome of the request is unknown";
    case request_error::NotSent:
      return "the request was not sent to a backend server";
    case request_error::NotPrimary:
      return "the instance is not the primary";
    case request_error::TransactionLost:
      return "the transaction does not exist any more";
    case request_error::TransactionBusy:
      return "the transaction runs another request";
    }
    return "unknown request error";
  }
};

} // namespace

const std::error_category &requestCategory() {
  static const request_category Category;
  return Category;
}

std::error_code make_error_code(request_error Error) {
  return {static_cast<int>(Error), requestCategory()};
}

} // namespace radishrelay::groups
