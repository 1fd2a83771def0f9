#include "radishrelay/groups/term_lease_reader.h"

#include "radishrelay/groups/group_record.h"

namespace radishrelay::groups {

namespace {

// With three reads per lease, two consecutive reads can fail before the lease
// expires.
constexpr std::int64_t ReadsPerLease = 3;

} // namespace

std::optional<store_call> term_lease_reader::advance(base::time_point Now) {
  if (Now < DueAt)
    return {};
  AskedAt = Now;
  DueAt = Now + Options.LeaseDuration / ReadsPerLease;
  return store_call{++LastCallId, base::read_row{groupRecordKey(Options.Group)},
                    Now + Options.StoreTimeout};
}

std::optional<term_lease>
term_lease_reader::handle(const store_call_answer &Answer) const {
  bool IsRead = Answer.Id == LastCallId &&
                Answer.Answer.Outcome == base::store_outcome::Done &&
                !Answer.Answer.Rows.empty();
  if (!IsRead)
    return {};
  group_record Record = parseGroupRecord(Answer.Answer.Rows.front().Value);
  if (Record.Term == 0)
    return {};
  return term_lease{Record.Term, AskedAt + Options.LeaseDuration};
}

base::json term_lease_reader::dump() const {
  return {{"last_read_at_us", base::toMicroseconds(AskedAt)},
          {"due_at_us", base::toMicroseconds(DueAt)}};
}

} // namespace radishrelay::groups
