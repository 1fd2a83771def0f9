#include "radishrelay/daemon/result_body.h"

#include "radishrelay/base/json.h"

#include <algorithm>

namespace radishrelay::daemon {

std::string resultBody(const backend::result_set &Result) {
  base::json Body = base::json::object();
  Body["rows"] = base::json::array();
  for (const std::vector<backend::sql_value> &Row : Result.Rows) {
    base::json Object = base::json::object();
    std::size_t Count = std::min(Row.size(), Result.Columns.size());
    for (std::size_t Index = 0; Index < Count; ++Index) {
      if (Row[Index])
        Object[Result.Columns[Index]] = *Row[Index];
      else
        Object[Result.Columns[Index]] = nullptr;
    }
    Body["rows"].push_back(std::move(Object));
  }
  Body["affected"] = Result.Affected;
  return Body.dump(-1, ' ', false, base::json::error_handler_t::replace);
}

} // namespace radishrelay::daemon
