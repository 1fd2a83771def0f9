#include "radishrelay/groups/term_history.h"

#include <algorithm>
#include <utility>

namespace radishrelay::groups {

term_history::term_history(const log_position &Current,
                           std::vector<log_position> Starts)
    : Current(Current), Starts(std::move(Starts)) {}

position_relation term_history::relate(const log_position &Position) const {
  if (Position.Offset == 0)
    return position_relation::Contained;
  if (Position.Term == Current.Term) {
    bool IsReached = Position.Offset <= Current.Offset;
    return IsReached ? position_relation::Contained : position_relation::Behind;
  }
  if (Position.Term > Current.Term || !isPlausible())
    return position_relation::Behind;
  return relateToOlderTerm(Position);
}

bool term_history::isPlausible() const {
  return !Starts.empty() && Starts.back().Term == Current.Term;
}

position_relation
term_history::relateToOlderTerm(const log_position &Position) const {
  auto HasTerm = [&](const log_position &Start) {
    return Start.Term == Position.Term;
  };
  auto Own = std::find_if(Starts.begin(), Starts.end(), HasTerm);
  if (Own == Starts.end())
    return position_relation::Lost;
  // The current term is the last entry, hence an older one has a successor.
  bool IsKept = Position.Offset <= std::next(Own)->Offset;
  return IsKept ? position_relation::Contained : position_relation::Lost;
}

base::json term_history::dump() const {
  base::json Dump = base::json::object();
  Dump["term"] = Current.Term;
  Dump["position"] = Current.Offset;
  Dump["term_starts"] = base::json::array();
  for (const log_position &Start : Starts)
    Dump["term_starts"].push_back({Start.Term, Start.Offset});
  return Dump;
}

} // namespace radishrelay::groups
