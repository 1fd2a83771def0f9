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
  if (Position.Term > Current.Term || !listsCurrentTerm())
    return position_relation::Behind;
  return relateToOlderTerm(Position);
}

bool term_history::listsCurrentTerm() const {
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
  // The current term is the last in the list, so an older term has a successor.
  // An instance that was promoted before it held all entries of the term that
  // it followed can list that term with a start after the start of its own
  // term.
  auto HasLowerOffset = [](const log_position &Left,
                           const log_position &Right) {
    return Left.Offset < Right.Offset;
  };
  auto End = std::min_element(std::next(Own), Starts.end(), HasLowerOffset);
  if (Position.Offset > End->Offset)
    return position_relation::Lost;
  // A replica can follow a newer primary before it holds all older entries.
  bool IsReached = Position.Offset <= Current.Offset;
  return IsReached ? position_relation::Contained : position_relation::Behind;
}

log_position term_history::lastEntry() const {
  auto StartsWithin = [&](const log_position &Start) {
    return Start.Offset < Current.Offset;
  };
  auto Last = std::find_if(Starts.rbegin(), Starts.rend(), StartsWithin);
  term_number Term = Last == Starts.rend() ? Current.Term : Last->Term;
  return {Term, Current.Offset};
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
