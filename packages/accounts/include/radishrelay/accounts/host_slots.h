#ifndef RADISHRELAY_ACCOUNTS_HOST_SLOTS_H
#define RADISHRELAY_ACCOUNTS_HOST_SLOTS_H

#include "radishrelay/accounts/host_identity.h"
#include "radishrelay/accounts/row_change_tracker.h"
#include "radishrelay/accounts/slot_record.h"
#include "radishrelay/base/store_answer.h"

#include <map>
#include <optional>

namespace radishrelay::accounts {

/// Claims and renews this host's slot in the table service.
///
/// At most one store request is in flight; each must be answered, with Unknown
/// after the platform client's deadline. After a lost answer the table is
/// read back; a write that took effect is recognised by its sequence number
/// and dated from before it was sent.
class host_slots {
public:
  explicit host_slots(host_identity Self) : Self(std::move(Self)) {}

  /// The next store request, if one is due. \p SlotCount is 0 while unknown.
  std::optional<base::store_request> poll(std::int64_t SlotCount,
                                          base::time_point Now);

  /// The answer to the last request of poll.
  void answer(const base::store_answer &Answer, base::time_point Now);

  /// Gives the slot back; the row is removed by the next requests of poll.
  void release(base::time_point Now);

  /// True while the slot's lease runs: the connection quota may be used.
  [[nodiscard]] bool holds(base::time_point Now) const;
  /// True when the floor shares may be used too: a claim waits until every
  /// leased share granted before it has ended, and until the loans of an
  /// earlier incarnation have ended.
  [[nodiscard]] bool floorUsable(base::time_point Now) const;
  /// End of the slot's lease.
  [[nodiscard]] base::time_point deadline() const;
  /// The number of the slot; empty without one.
  [[nodiscard]] std::optional<std::int64_t> slot() const;
  /// True when a release has reached the store.
  [[nodiscard]] bool released() const { return Released; }

  [[nodiscard]] base::json dump() const;

private:
  struct held_slot {
    slot_record Record;
    base::time_point Deadline;
    base::time_point FloorUsableFrom;
  };
  enum class step { Reading, Writing, Removing };

  std::optional<base::store_request> startRead(base::time_point Now);
  std::optional<base::store_request> startWrite(slot_record Target,
                                                base::time_point Now);
  std::optional<base::store_request> startRemoval(base::time_point Now);
  void onReadAnswer(const base::store_answer &Answer, base::time_point Now);
  void onWriteAnswer(const base::store_answer &Answer, base::time_point Now);
  void hold(const slot_record &Record, base::time_point SentAt,
            base::time_point Now);
  void chooseTarget(const std::vector<slot_record> &Slots,
                    base::time_point Now);
  void scheduleNext(base::time_point Time);

  host_identity Self;
  row_change_tracker Tracker;
  std::optional<held_slot> Held;
  /// What the next write writes.
  std::optional<slot_record> Target;
  /// When each write was sent, by sequence number.
  std::map<std::uint64_t, base::time_point> WriteSentAt;
  /// What the write in flight writes.
  slot_record RecordInFlight;
  std::optional<step> InFlight;
  base::time_point SentAt;
  base::time_point NextAt;
  std::uint64_t LastSequence = 0;
  std::int64_t SlotCount = 0;
  /// A later start of this host holds the slot; this one never claims again.
  bool Replaced = false;
  bool Releasing = false;
  bool Released = false;
};

} // namespace radishrelay::accounts

#endif
