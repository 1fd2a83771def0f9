#ifndef RADISHRELAY_FLEET_SRC_JSON_READER_H
#define RADISHRELAY_FLEET_SRC_JSON_READER_H

#include "radishrelay/base/json.h"
#include "radishrelay/fleet/configuration_error.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace radishrelay::fleet::detail {

/// Reads the members of one JSON object and records each fault with its place.
/// A faulty member gives the default value of its type.
class json_reader {
public:
  json_reader(const base::json &Value, std::string Place,
              configuration_errors &Errors);

  std::string string(const char *Name);
  std::int64_t integer(const char *Name);
  std::int64_t integerOr(const char *Name, std::int64_t Default);
  /// Empty when the member is absent or null.
  std::optional<std::int64_t> optionalInteger(const char *Name);
  bool booleanOr(const char *Name, bool Default);
  std::vector<std::string> strings(const char *Name);
  /// Same, empty when the member is absent.
  std::vector<std::string> stringsOrNone(const char *Name);
  json_reader object(const char *Name);

  /// Calls \p Read with a reader of each element of an array of objects.
  template <typename Function> void each(const char *Name, Function Read) {
    const base::json &Items = array(Name);
    for (std::size_t Index = 0; Index < Items.size(); ++Index) {
      json_reader Item(Items[Index], element(Name, Index), Errors);
      Read(Item);
      Item.finish();
    }
  }

  /// Records each member that was not read.
  void finish();
  void fail(const char *Name, std::string Message);

private:
  const base::json *find(const char *Name);
  const base::json &require(const char *Name);
  const base::json &array(const char *Name);
  [[nodiscard]] std::string member(const std::string &Name) const;
  [[nodiscard]] std::string element(const char *Name, std::size_t Index) const;

  const base::json &Value;
  std::string Place;
  configuration_errors &Errors;
  std::set<std::string> Read;
};

} // namespace radishrelay::fleet::detail

#endif
