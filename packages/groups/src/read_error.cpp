#include "radishrelay/groups/read_error.h"

#include <string>

namespace radishrelay::groups {

namespace {

class read_category final : public std::error_category {
public:
  [[nodiscard]] const char *name() const noexcept override {
    return "radishrelay.read";
  }

  [[nodiscard]] std::string message(int Value) const override {
    switch (static_cast<read_error>(Value)) {
    case read_error::NoFreshReplica:
      return "no instance is fresh enough before the deadline";
    case read_error::HistoryLost:
      return "the session has seen log entries that were lost in a failover";
    }
    return "unknown read error";
  }
};

} // namespace

const std::error_category &readCategory() {
  static const read_category Category;
  return Category;
}

std::error_code make_error_code(read_error Error) {
  return {static_cast<int>(Error), readCategory()};
}

} // namespace radishrelay::groups
