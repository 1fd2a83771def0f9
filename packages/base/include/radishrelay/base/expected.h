#ifndef RADISHRELAY_BASE_EXPECTED_H
#define RADISHRELAY_BASE_EXPECTED_H

#include "radishrelay/base/failure.h"

#include <cassert>
#include <utility>
#include <variant>

namespace radishrelay::base {

/// Holds either a value or the error that prevented it.
///
/// Replaces std::expected, which C++20 lacks.
template <typename Value, typename Error = failure> class expected {
public:
  expected(Value Result) : Content(std::in_place_index<0>, std::move(Result)) {}
  expected(Error Failure)
      : Content(std::in_place_index<1>, std::move(Failure)) {}

  [[nodiscard]] bool hasValue() const { return Content.index() == 0; }
  explicit operator bool() const { return hasValue(); }

  Value &operator*() & { return get(); }
  const Value &operator*() const & { return get(); }
  Value &&operator*() && { return std::move(get()); }
  Value *operator->() { return &get(); }
  const Value *operator->() const { return &get(); }

  [[nodiscard]] const Error &error() const {
    assert(!hasValue());
    return *std::get_if<1>(&Content);
  }

private:
  Value &get() {
    assert(hasValue());
    return *std::get_if<0>(&Content);
  }
  const Value &get() const {
    assert(hasValue());
    return *std::get_if<0>(&Content);
  }

  std::variant<Value, Error> Content;
};

} // namespace radishrelay::base

#endif
