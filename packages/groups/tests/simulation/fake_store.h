#ifndef RADISHRELAY_GROUPS_TESTS_FAKE_STORE_H
#define RADISHRELAY_GROUPS_TESTS_FAKE_STORE_H

#include "sim_node.h"

#include "radishrelay/groups/group_record.h"

#include "radishrelay/base/store_answer.h"

namespace radishrelay::groups::testing {

enum class store_mode { Up, Down, LosesAnswers };

/// Simulated table service with the record of one group. While down it refuses
/// requests; while it loses answers, their outcome is unknown to the caller.
struct fake_store : sim_node {
  store_mode Mode = store_mode::Up;
  base::table_row Row;
  std::uint64_t Writes = 0;
  std::uint64_t Calls = 0;

  [[nodiscard]] group_record record() const {
    return parseGroupRecord(Row.Value);
  }

  base::store_answer run(const base::store_request &Request) {
    ++Calls;
    if (Mode == store_mode::Down)
      return {base::store_outcome::NotDone, {}, 0, {}, {}};
    base::store_answer Answer = {base::store_outcome::Done, {Row}, 0, {}, {}};
    if (const auto *Change = std::get_if<base::store_transaction>(&Request)) {
      ++Writes;
      // Every second transaction is lost before it is applied, the others lose
      // only their answer.
      if (Mode == store_mode::LosesAnswers && Writes % 2 == 0)
        return {};
      if (Change->Conditions.front().Version == Row.Version)
        Row = {Row.Key, Row.Version + 1, Change->Writes.front().Value};
      else
        Answer.Outcome = base::store_outcome::Conflict;
      Answer.Version = Row.Version;
    }
    return Mode == store_mode::LosesAnswers ? base::store_answer{} : Answer;
  }
};

} // namespace radishrelay::groups::testing

#endif
