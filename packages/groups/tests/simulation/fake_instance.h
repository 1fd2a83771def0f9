#ifndef RADISHRELAY_GROUPS_TESTS_FAKE_INSTANCE_H
#define RADISHRELAY_GROUPS_TESTS_FAKE_INSTANCE_H

#include "sim_node.h"

#include "radishrelay/groups/committed_write.h"
#include "radishrelay/groups/instance_answer.h"

#include <algorithm>

namespace radishrelay::groups::testing {

/// Message of the simulated replication: consecutive entries of a primary's
/// log, with the terms of the whole log.
struct log_segment {
  term_number Term = 0;
  std::vector<log_position> Starts;
  /// Length of the primary's log.
  log_offset LogEnd = 0;
  /// Offset of the first entry of Writes.
  log_offset From = 0;
  std::vector<write_id> Writes;
};

/// An instance as section 4 of the design describes it. Its log and terms
/// survive a crash.
struct fake_instance : sim_node {
  base::instance_id Id;
  instance_role Role = instance_role::Replica;
  term_number Term = 1;
  term_number RaisedTerm = 1;
  std::vector<log_position> Starts = {{1, 0}};
  std::vector<write_id> Log;

  [[nodiscard]] instance_status status() const {
    return {Role, {Term, Log.size()}, RaisedTerm, Starts, {}};
  }

  instance_answer answer(const instance_call &Call, base::time_point AskedAt) {
    instance_answer Answer = {Call, call_outcome::Done, {}, AskedAt};
    if (Call.Kind == call_kind::Raise)
      Answer.Outcome = raise(Call.Term);
    if (Call.Kind == call_kind::Promote)
      Answer.Outcome = promote(Call.Term);
    if (Answer.Outcome == call_outcome::Done)
      Answer.Status = status();
    return Answer;
  }

  call_outcome raise(term_number NewTerm) {
    if (NewTerm <= RaisedTerm)
      return call_outcome::Refused;
    RaisedTerm = NewTerm;
    return call_outcome::Done;
  }

  call_outcome promote(term_number NewTerm) {
    if (NewTerm != RaisedTerm || NewTerm == Term)
      return call_outcome::Refused;
    std::erase_if(Starts, [this](log_position Start) {
      return Start.Offset > Log.size();
    });
    Role = instance_role::Primary;
    Term = NewTerm;
    Starts.push_back({Term, Log.size()});
    return call_outcome::Done;
  }

  /// Appends a write to the log and returns the position after it. Returns
  /// nothing, as for a rollback, when the instance is not the primary or was
  /// raised above its term.
  std::optional<log_position> commit(write_id Write) {
    if (Role != instance_role::Primary || RaisedTerm > Term)
      return {};
    Log.push_back(Write);
    return log_position{Term, Log.size()};
  }

  /// Returns at most \p Limit entries, starting at offset \p From, for a
  /// replica whose log ends there.
  [[nodiscard]] log_segment segment(log_offset From, std::size_t Limit) const {
    log_segment Segment = {Term, Starts, Log.size(), From, {}};
    for (log_offset At = From; At < Log.size() && At < From + Limit; ++At)
      Segment.Writes.push_back(Log[At]);
    return Segment;
  }

  /// Appends the entries of \p Segment. If it is of a newer term, first
  /// truncates the entries that the log of the new primary does not have.
  void follow(const log_segment &Segment) {
    if (Segment.Term < RaisedTerm || Segment.Term < Term)
      return;
    if (Segment.Term > Term) {
      Log.resize(commonPrefixLength(Segment));
      Role = instance_role::Replica;
      Term = RaisedTerm = Segment.Term;
      Starts = Segment.Starts;
    }
    if (Role == instance_role::Primary || Segment.From > Log.size())
      return;
    for (std::size_t At = Log.size() - Segment.From; At < Segment.Writes.size();
         ++At)
      Log.push_back(Segment.Writes[At]);
  }

  /// Returns the length up to which this log equals the log of the primary that
  /// sent \p Segment.
  [[nodiscard]] log_offset
  commonPrefixLength(const log_segment &Segment) const {
    log_offset Common = 0;
    for (std::size_t At = 0; At < Starts.size() && At < Segment.Starts.size() &&
                             Starts[At] == Segment.Starts[At];
         ++At) {
      bool IsLast = At + 1 == Starts.size();
      bool IsLastOfSegment = At + 1 == Segment.Starts.size();
      Common = std::min(
          {IsLast ? Log.size() : Starts[At + 1].Offset,
           IsLastOfSegment ? Segment.LogEnd : Segment.Starts[At + 1].Offset,
           Log.size()});
    }
    return Common;
  }
};

} // namespace radishrelay::groups::testing

#endif
