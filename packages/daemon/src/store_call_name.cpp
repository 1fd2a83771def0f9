#include "radishrelay/daemon/store_call_name.h"

namespace radishrelay::daemon {

std::string storeCallName(const base::store_request &Request) {
  if (const auto *Row = std::get_if<base::read_row>(&Request))
    return "read_row_" + Row->Key.Table;
  if (const auto *Table = std::get_if<base::read_table>(&Request))
    return "read_table_" + Table->Table;
  const auto &Transaction = std::get<base::store_transaction>(Request);
  if (Transaction.Writes.empty())
    return "check_rows";
  const base::row_write &First = Transaction.Writes.front();
  return (First.Value.is_null() ? "delete_" : "write_") + First.Key.Table;
}

std::string readCallName(std::string_view Source, base::duration Wait) {
  bool IsWatch = Wait > base::duration::zero();
  return (IsWatch ? "watch_" : "read_") + std::string(Source);
}

} // namespace radishrelay::daemon
