#ifndef RADISHRELAY_BACKEND_SRC_REPLICATED_LOG_H
#define RADISHRELAY_BACKEND_SRC_REPLICATED_LOG_H

#include "radishrelay/backend/statement.h"
#include "radishrelay/groups/instance_status.h"

#include <memory>
#include <optional>
#include <vector>

namespace radishrelay::backend::detail {

/// The writes of one transaction.
struct log_entry {
  std::vector<statement> Statements;
  base::time_point CommittedAt;
};

/// The instances of a group share their entries.
using shared_entry = std::shared_ptr<const log_entry>;

/// Log, role and terms of one instance, without any I/O.
class replicated_log {
public:
  explicit replicated_log(groups::instance_role Role) : Role(Role) {}

  [[nodiscard]] groups::instance_role role() const { return Role; }
  [[nodiscard]] groups::log_position position() const;
  [[nodiscard]] groups::term_number raisedTerm() const { return RaisedTerm; }
  [[nodiscard]] const std::vector<shared_entry> &entries() const {
    return Entries;
  }
  /// How often entries were dropped; data built from the log before the last
  /// time is void.
  [[nodiscard]] std::uint64_t truncations() const { return Truncations; }
  [[nodiscard]] groups::instance_status status(base::time_point Now) const;

  /// True for a primary that was not raised above its own term.
  [[nodiscard]] bool mayCommit() const;
  void append(log_entry Entry);

  /// Returns false when \p Term is not above the raised term.
  bool raise(groups::term_number Term);
  /// Returns false unless the raised term equals \p Term and the instance does
  /// not follow another primary of that term.
  bool promote(groups::term_number Term);

  /// True when a primary with this log accepts \p Primary as its successor, or
  /// a replica follows it.
  [[nodiscard]] bool accepts(const replicated_log &Primary) const;
  /// Follows \p Primary: drops entries that it does not have and appends those
  /// that were committed at or before \p SeenUntil. Returns true when the log
  /// or the role changed.
  bool follow(const replicated_log &Primary, base::time_point SeenUntil);
  /// Time of the next commit that follow() has yet to append.
  [[nodiscard]] std::optional<base::time_point>
  nextCommit(const replicated_log &Primary) const;

private:
  void truncate(groups::log_offset Length);
  [[nodiscard]] groups::log_offset
  commonLength(const replicated_log &Other) const;
  [[nodiscard]] groups::log_offset endOfTerm(std::size_t Index) const;

  groups::instance_role Role;
  groups::term_number RaisedTerm = 1;
  std::vector<groups::log_position> TermStarts{{1, 0}};
  std::vector<shared_entry> Entries;
  std::uint64_t Truncations = 0;
  std::optional<base::time_point> CaughtUpAt;
};

} // namespace radishrelay::backend::detail

#endif
