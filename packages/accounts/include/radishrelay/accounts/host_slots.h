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
/// A slot is a row of the slots table that one host leases. It entitles the
/// host to the floor share of every limit and to its connection quota.
///
/// At most one store request is in flight. The caller answers each, with
/// Unknown when the platform client's deadline has passed. After a lost answer
/// the table is read again: a write that took effect is recognised by its
/// sequence number, and its lease counts from before the write was sent.
class host_slots {
public:
  explicit host_slots(host_identity Self) : Self(std::move(Self)) {}

  /// Returns the next store request if one is due. \p SlotCount is 0 until the
  /// configuration is known.
  std::optional<base::store_request> poll(std::int64_t SlotCount,
                                          base::time_point Now);

  /// Handles the answer to the last request that poll returned.
  void answer(const base::store_answer &Answer, base::time_point Now);

  /// Stops using the slot. The next request that poll returns removes the row.
  void release(base::time_point Now);

  /// True while the slot's lease is valid and the connection quota may be used.
  [[nodiscard]] bool holds(base::time_point Now) const;
  /// True while the floor shares may be used too: after every leased share that
  /// was granted before the claim, and every loan of an earlier incarnation of
  /// this host, has ended.
  [[nodiscard]] bool floorUsable(base::time_point Now) const;
  /// End of the slot's lease; the zero time point without a slot.
  [[nodiscard]] base::time_point deadline() const;
  /// The number of the slot, or nothing without one.
  [[nodiscard]] std::optional<std::int64_t> slot() const;
  /// True once the release is complete: the store removed the row, no slot was
  /// held, or the row belongs to another host.
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
  /// Record of the next write.
  std::optional<slot_record> Target;
  /// Send time of each write by sequence number.
  std::map<std::uint64_t, base::time_point> WriteSentAt;
  slot_record RecordInFlight;
  std::optional<step> InFlight;
  base::time_point SentAt;
  base::time_point NextAt;
  std::uint64_t LastSequence = 0;
  std::int64_t SlotCount = 0;
  /// True when a later start of this host holds the slot; this one never claims
  /// a slot again.
  bool Replaced = false;
  bool Releasing = false;
  bool Released = false;
};

} // namespace radishrelay::accounts

#endif
