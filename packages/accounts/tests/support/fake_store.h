#ifndef RADISHRELAY_ACCOUNTS_TESTS_FAKE_STORE_H
#define RADISHRELAY_ACCOUNTS_TESTS_FAKE_STORE_H

#include "radishrelay/base/store_answer.h"

#include <map>
#include <variant>

namespace radishrelay::accounts::fakes {

/// In-memory table service that injects no faults itself.
class fake_store {
public:
  base::store_answer apply(const base::store_request &Request) {
    return std::visit([this](const auto &Body) { return run(Body); }, Request);
  }

  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Conflicts = 0;
  std::map<base::row_key, base::table_row> Rows;

private:
  base::table_row rowOf(const base::row_key &Key) const {
    auto Found = Rows.find(Key);
    return Found == Rows.end() ? base::table_row{Key, 0, nullptr}
                               : Found->second;
  }

  base::store_answer run(const base::read_row &Request) {
    ++Reads;
    base::store_answer Answer;
    Answer.Outcome = base::store_outcome::Done;
    Answer.Rows.push_back(rowOf(Request.Key));
    return Answer;
  }

  base::store_answer run(const base::read_table &Request) {
    ++Reads;
    base::store_answer Answer;
    Answer.Outcome = base::store_outcome::Done;
    for (const auto &[Key, Row] : Rows)
      if (Key.Table == Request.Table)
        Answer.Rows.push_back(Row);
    return Answer;
  }

  base::store_answer run(const base::store_transaction &Request) {
    base::store_answer Answer;
    for (const base::row_condition &Condition : Request.Conditions)
      if (rowOf(Condition.Key).Version != Condition.Version)
        Answer.Rows.push_back(rowOf(Condition.Key));
    if (!Answer.Rows.empty()) {
      ++Conflicts;
      Answer.Outcome = base::store_outcome::Conflict;
      return Answer;
    }
    ++LastVersion;
    for (const base::row_write &Write : Request.Writes) {
      ++Writes;
      if (Write.Value.is_null())
        Rows.erase(Write.Key);
      else
        Rows[Write.Key] = {Write.Key, LastVersion, Write.Value};
    }
    Answer.Outcome = base::store_outcome::Done;
    Answer.Version = LastVersion;
    return Answer;
  }

  base::row_version LastVersion = 0;
};

} // namespace radishrelay::accounts::fakes

#endif
