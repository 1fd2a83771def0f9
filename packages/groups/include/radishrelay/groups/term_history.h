#ifndef RADISHRELAY_GROUPS_TERM_HISTORY_H
#define RADISHRELAY_GROUPS_TERM_HISTORY_H

#include "radishrelay/base/json.h"
#include "radishrelay/groups/instance_status.h"

#include <vector>

namespace radishrelay::groups {

/// How the log of an instance relates to a log position.
enum class position_relation {
  /// The log holds all entries up to the position.
  Contained,
  /// The log has not reached the position, as far as its status shows.
  Behind,
  /// The log has gone on in a newer term without the entries before the
  /// position.
  Lost,
};

/// Terms that a log consists of, each with its first offset.
class term_history {
public:
  /// \p Current is the end of the log, \p Starts in ascending order.
  term_history(const log_position &Current, std::vector<log_position> Starts);

  explicit term_history(const instance_status &Status)
      : term_history(Status.Position, Status.TermStarts) {}

  /// Relates the log to \p Position. The entries of a term end where the next
  /// term of the same log starts. A position of an older term that the history
  /// does not list counts as lost, since it can not be told from one.
  [[nodiscard]] position_relation relate(const log_position &Position) const;

  /// Returns the end of the log with the term of its last entry. That term is
  /// older than the current one while the instance has not reached the start
  /// of the term that it follows. Positions in this form name one entry, which
  /// no failover gives to another log.
  [[nodiscard]] log_position lastEntry() const;

  [[nodiscard]] base::json dump() const;

private:
  [[nodiscard]] bool listsCurrentTerm() const;
  [[nodiscard]] position_relation
  relateToOlderTerm(const log_position &Position) const;

  log_position Current;
  std::vector<log_position> Starts;
};

} // namespace radishrelay::groups

#endif
