#ifndef RADISHRELAY_BACKEND_SRC_INSTANCE_STORE_H
#define RADISHRELAY_BACKEND_SRC_INSTANCE_STORE_H

#include "replicated_log.h"
#include "sqlite_database.h"

#include <optional>

namespace radishrelay::backend::detail {

/// Log and rows of one instance.
///
/// Two copies of the rows isolate transactions: one holds committed data only
/// and serves readers, the other holds the open write transaction. Both are
/// brought up to date from the log when they are next used.
class instance_store {
public:
  explicit instance_store(groups::instance_role Role) : Log(Role) {}

  replicated_log Log;

  /// The copy with committed data.
  sqlite_database &committed();

  /// Starts the only write transaction; ends with commit() or rollback().
  void beginWrite();
  [[nodiscard]] bool isWriting() const { return IsWriting; }
  /// The copy with the changes of the write transaction.
  sqlite_database &working() { return Working.Database; }
  /// Makes the write transaction take effect and appends it to the log.
  void commit(std::vector<statement> Writes, base::time_point Now);
  void rollback();

  /// Statements of the log that gave another result on a copy than on the
  /// primary, because they are not deterministic.
  [[nodiscard]] std::uint64_t failedApplies() const { return FailedApplies; }

private:
  struct copy {
    sqlite_database Database;
    groups::log_offset Applied = 0;
    std::uint64_t Truncations = 0;
  };

  void catchUp(copy &Copy);
  void apply(copy &Copy, const log_entry &Entry);

  copy Committed;
  copy Working;
  bool IsWriting = false;
  std::uint64_t FailedApplies = 0;
};

} // namespace radishrelay::backend::detail

#endif
