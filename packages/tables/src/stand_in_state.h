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

/// Tables, objects, host list and fault of a stand-in platform. Safe to use
/// from several threads.
class stand_in_state {
public:
  base::table_row readRow(const base::row_key &Key);
  std::vector<base::table_row> readTable(const std::string &Table);
  /// Done with the new version, or Conflict with the rows that differ.
  base::store_answer execute(const base::store_transaction &Transaction);

  std::optional<std::string> getObject(const std::string &Name);
  void putObject(const std::string &Name, std::string Content);

  std::vector<base::listed_host> hosts();
  void setHosts(std::vector<base::listed_host> List);

  [[nodiscard]] stand_in_counters counters() const;
  void setFault(const stand_in_fault &Fault);
  /// Ends all waits; further requests end without an answer.
  void stop();

  /// Waits as the fault says. Returns false when the connection is to be
  /// closed before the request takes effect.
  bool admit();
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
