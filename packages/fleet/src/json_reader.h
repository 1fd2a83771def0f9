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

/// Reads the members of one JSON object and records each error with the path of
/// the member. A missing or invalid member yields the default value of its
/// type.
class json_reader {
public:
  json_reader(const base::json &Value, std::string Place,
              configuration_errors &Errors);

  std::string string(const char *Name);
  std::int64_t integer(const char *Name);
  std::int64_t integerOr(const char *Name, std::int64_t Default);
  /// Returns nothing if the member is absent or null.
  std::optional<std::int64_t> optionalInteger(const char *Name);
  bool booleanOr(const char *Name, bool Default);
  std::vector<std::string> strings(const char *Name);
  /// Returns an empty list if the member is absent.
  std::vector<std::string> stringsOrEmpty(const char *Name);
  json_reader object(const char *Name);

  /// Calls \p ReadElement with a reader for each element of an array of
  /// objects. Unknown members of the elements are errors.
  template <typename Function>
  void forEachObject(const char *Name, Function ReadElement) {
    const base::json &Items = array(Name);
    for (std::size_t Index = 0; Index < Items.size(); ++Index) {
      json_reader Item(Items[Index], element(Name, Index), Errors);
      ReadElement(Item);
      Item.reportUnknownMembers();
    }
  }

  /// Records an error for each member that has not been read.
  void reportUnknownMembers();
  /// Records an error for the member \p Name.
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
  std::set<std::string> ReadNames;
};

} // namespace radishrelay::fleet::detail

#endif
