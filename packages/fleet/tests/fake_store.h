#ifndef RADISHRELAY_FLEET_TESTS_FAKE_STORE_H
#define RADISHRELAY_FLEET_TESTS_FAKE_STORE_H

#include "radishrelay/base/store_answer.h"

#include <map>

namespace radishrelay::fleet::testing {

/// In-memory store. One counter, incremented by each transaction, supplies the
/// versions of all rows.
class fake_store {
public:
  base::store_answer execute(const base::store_request &Request) {
    base::store_answer Answer;
    Answer.Outcome = base::store_outcome::Done;
    if (const auto *Read = std::get_if<base::read_row>(&Request))
      Answer.Rows = {row(Read->Key)};
    if (const auto *Write = std::get_if<base::store_transaction>(&Request))
      executeTransaction(*Write, Answer);
    return Answer;
  }

  [[nodiscard]] base::table_row row(const base::row_key &Key) const {
    auto Found = Rows.find(Key);
    return Found == Rows.end() ? base::table_row{Key, 0, nullptr}
                               : Found->second;
  }

private:
  void executeTransaction(const base::store_transaction &Transaction,
                          base::store_answer &Answer) {
    for (const base::row_condition &Condition : Transaction.Conditions)
      if (row(Condition.Key).Version != Condition.Version)
        Answer.Rows.push_back(row(Condition.Key));
    if (!Answer.Rows.empty()) {
      Answer.Outcome = base::store_outcome::Conflict;
      return;
    }
    Answer.Version = ++LastVersion;
    for (const base::row_write &Write : Transaction.Writes)
      Rows[Write.Key] = {Write.Key, LastVersion, Write.Value};
  }

  std::map<base::row_key, base::table_row> Rows;
  base::row_version LastVersion = 0;
};

} // namespace radishrelay::fleet::testing

#endif
