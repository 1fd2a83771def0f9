#include "stand_in_state.h"

namespace radishrelay::tables::detail {

base::table_row stand_in_state::rowLocked(const base::row_key &Key) const {
  auto Found = Rows.find(Key);
  return Found == Rows.end() ? base::table_row{Key, 0, nullptr} : Found->second;
}

base::table_row stand_in_state::readRow(const base::row_key &Key) {
  std::lock_guard Lock(Mutex);
  ++Counters.Reads;
  return rowLocked(Key);
}

std::vector<base::table_row>
stand_in_state::readTable(const std::string &Table) {
  std::lock_guard Lock(Mutex);
  ++Counters.Reads;
  std::vector<base::table_row> Found;
  for (auto Entry = Rows.lower_bound({Table, ""});
       Entry != Rows.end() && Entry->first.Table == Table; ++Entry)
    Found.push_back(Entry->second);
  return Found;
}

base::store_answer
stand_in_state::execute(const base::store_transaction &Transaction) {
  std::lock_guard Lock(Mutex);
  base::store_answer Answer;
  for (const base::row_condition &Condition : Transaction.Conditions) {
    base::table_row Row = rowLocked(Condition.Key);
    if (Row.Version != Condition.Version)
      Answer.Rows.push_back(std::move(Row));
  }
  if (!Answer.Rows.empty()) {
    ++Counters.Conflicts;
    Answer.Outcome = base::store_outcome::Conflict;
    return Answer;
  }
  ++Counters.Writes;
  ++LastVersion;
  for (const base::row_write &Write : Transaction.Writes) {
    if (Write.Value.is_null())
      Rows.erase(Write.Key);
    else
      Rows[Write.Key] = {Write.Key, LastVersion, Write.Value};
  }
  Answer.Outcome = base::store_outcome::Done;
  Answer.Version = LastVersion;
  return Answer;
}

std::optional<std::string> stand_in_state::getObject(const std::string &Name) {
  std::lock_guard Lock(Mutex);
  ++Counters.Reads;
  auto Found = Objects.find(Name);
  if (Found == Objects.end())
    return std::nullopt;
  return Found->second;
}

void stand_in_state::putObject(const std::string &Name, std::string Content) {
  std::lock_guard Lock(Mutex);
  ++Counters.Writes;
  Objects[Name] = std::move(Content);
}

std::vector<base::listed_host> stand_in_state::hosts() {
  std::lock_guard Lock(Mutex);
  ++Counters.Reads;
  return Hosts;
}

void stand_in_state::setHosts(std::vector<base::listed_host> List) {
  std::lock_guard Lock(Mutex);
  Hosts = std::move(List);
}

stand_in_counters stand_in_state::counters() const {
  std::lock_guard Lock(Mutex);
  return Counters;
}

void stand_in_state::setFault(const stand_in_fault &NewFault) {
  std::lock_guard Lock(Mutex);
  Fault = NewFault;
  StateChanged.notify_all();
}

void stand_in_state::stop() {
  std::lock_guard Lock(Mutex);
  Stopped = true;
  StateChanged.notify_all();
}

bool stand_in_state::admit() {
  std::unique_lock Lock(Mutex);
  if (Fault.Mode == stand_in_fault_mode::Slow)
    StateChanged.wait_for(Lock, Fault.Delay, [this] { return Stopped; });
  if (Fault.Mode == stand_in_fault_mode::Pause)
    StateChanged.wait(Lock, [this] {
      return Stopped || Fault.Mode != stand_in_fault_mode::Pause;
    });
  return !Stopped && Fault.Mode != stand_in_fault_mode::Down;
}

bool stand_in_state::losesAnswers() const {
  std::lock_guard Lock(Mutex);
  return Fault.Mode == stand_in_fault_mode::LoseAnswers;
}

} // namespace radishrelay::tables::detail
