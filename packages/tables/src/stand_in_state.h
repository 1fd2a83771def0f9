#ifndef RADISHRELAY_TABLES_SRC_STAND_IN_STATE_H
#define RADISHRELAY_TABLES_SRC_STAND_IN_STATE_H

#include "radishrelay/base/listed_host.h"
#include "radishrelay/base/store_answer.h"
#include "radishrelay/tables/stand_in_counters.h"
#include "radishrelay/tables/stand_in_fault.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace radishrelay::tables::detail {

/// Tables, objects, host list and injected fault of a stand-in platform.
/// Thread-safe.
class stand_in_state {
public:
  base::table_row readRow(const base::row_key &Key);
  std::vector<base::table_row> readTable(const std::string &Table);
  /// Returns Done with the new version, or Conflict with the rows whose
  /// versions differ from the conditions.
  base::store_answer execute(const base::store_transaction &Transaction);

  std::optional<std::string> getObject(const std::string &Name);
  void putObject(const std::string &Name, std::string Content);

  std::vector<base::listed_host> hosts();
  void setHosts(std::vector<base::listed_host> List);

  [[nodiscard]] stand_in_counters counters() const;
  void setFault(const stand_in_fault &Fault);
  /// Unblocks all waiting requests. These and all later requests, except
  /// control requests, end without a response.
  void stop();

  /// Applies the injected delay or pause. Returns false if the connection is to
  /// be closed without executing the request.
  bool admit();
  /// Returns true if the connection is to be closed after the request is
  /// executed.
  [[nodiscard]] bool losesAnswers() const;

private:
  base::table_row rowLocked(const base::row_key &Key) const;

  mutable std::mutex Mutex;
  std::condition_variable StateChanged;
  base::row_version LastVersion = 0;
  std::map<base::row_key, base::table_row> Rows;
  std::map<std::string, std::string> Objects;
  std::vector<base::listed_host> Hosts;
  stand_in_counters Counters;
  stand_in_fault Fault;
  bool Stopped = false;
};

} // namespace radishrelay::tables::detail

#endif
