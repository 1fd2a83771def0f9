#ifndef RADISHRELAY_GROUPS_TERM_HISTORY_H
#define RADISHRELAY_GROUPS_TERM_HISTORY_H

#include "radishrelay/base/json.h"
#include "radishrelay/groups/instance_status.h"

#include <vector>

namespace radishrelay::groups {

/// Relation between the log of an instance and a log position.
enum class position_relation {
  /// The log holds all entries before the position.
  Contained,
  /// The log has not reached the position, as far as the status shows.
  Behind,
  /// The log has diverged: it continues in a newer term without all entries
  /// before the position.
  Lost,
};

/// Terms that a log consists of, each with its start. Tells whether the log
/// holds the entries before a position.
class term_history {
public:
  /// \p Current is the end of the log; \p Starts holds the starts of its terms
  /// in ascending order.
  term_history(const log_position &Current, std::vector<log_position> Starts);

  explicit term_history(const instance_status &Status)
      : term_history(Status.Position, Status.TermStarts) {}

  /// Returns the relation of the log to \p Position. The entries of a term end
  /// where the next term of the same log starts. A position in an older term
  /// that the history does not list is reported as lost, because it cannot be
  /// distinguished from a lost one.
  [[nodiscard]] position_relation relate(const log_position &Position) const;

  /// Returns the end of the log with the term of its last entry. That term is
  /// older than the current one while the instance follows a new primary but
  /// does not hold all entries before the new term's start. A position of this
  /// form identifies one entry; after a failover no other entry has the same
  /// position.
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
