#include "radishrelay/accounts/host_slots.h"

#include "radishrelay/accounts/limits_timing.h"
#include "radishrelay/base/rendezvous.h"

#include <algorithm>

namespace radishrelay::accounts {

std::optional<base::store_request> host_slots::poll(std::int64_t Count,
                                                    base::time_point Now) {
  SlotCount = Count;
  if (InFlight || Now < NextAt || SlotCount <= 0 || Released || Replaced)
    return std::nullopt;
  if (Releasing)
    return startRemoval(Now);
  if (Target) {
    slot_record Record = *Target;
    Target.reset();
    return startWrite(Record, Now);
  }
  return startRead(Now);
}

std::optional<base::store_request> host_slots::startRead(base::time_point Now) {
  InFlight = step::Reading;
  SentAt = Now;
  return base::read_table{SlotsTable};
}

std::optional<base::store_request>
host_slots::startWrite(slot_record Record, base::time_point Now) {
  Record.Host = Self.Host;
  Record.Incarnation = Self.Incarnation;
  Record.Sequence = ++LastSequence;
  WriteSentAt[Record.Sequence] = Now;
  RecordInFlight = Record;
  InFlight = step::Writing;
  SentAt = Now;
  base::row_key Key = slotKey(Record.Slot);
  return base::store_transaction{{{Key, Record.Version}},
                                 {{Key, formatSlot(Record)}}};
}

std::optional<base::store_request>
host_slots::startRemoval(base::time_point Now) {
  if (!Held) {
    Released = true;
    return std::nullopt;
  }
  InFlight = step::Removing;
  SentAt = Now;
  base::row_key Key = slotKey(Held->Record.Slot);
  return base::store_transaction{{{Key, Held->Record.Version}},
                                 {{Key, nullptr}}};
}

void host_slots::answer(const base::store_answer &Answer,
                        base::time_point Now) {
  if (!InFlight)
    return;
  step Step = *InFlight;
  InFlight.reset();
  if (Step == step::Reading)
    return onReadAnswer(Answer, Now);
  if (Step == step::Writing)
    return onWriteAnswer(Answer, Now);
  // A conflict means that the row is already removed or has another holder.
  Released = Answer.Outcome == base::store_outcome::Done ||
             Answer.Outcome == base::store_outcome::Conflict;
  scheduleNext(Now + timing::SlotRetryDelay);
}

void host_slots::onReadAnswer(const base::store_answer &Answer,
                              base::time_point Now) {
  if (Answer.Outcome != base::store_outcome::Done)
    return scheduleNext(Now + timing::SlotRetryDelay);
  std::vector<slot_record> Slots = parseSlots(Answer.Rows);
  for (const slot_record &Slot : Slots)
    Tracker.observe(std::to_string(Slot.Slot), Slot.Incarnation, Slot.Sequence,
                    Now);
  chooseTarget(Slots, Now);
  scheduleNext(Target ? Now : Now + timing::SlotRetryDelay);
}

void host_slots::onWriteAnswer(const base::store_answer &Answer,
                               base::time_point Now) {
  // After any other outcome the next read shows whether the write took effect.
  scheduleNext(Now + timing::SlotRetryDelay);
  if (Answer.Outcome != base::store_outcome::Done)
    return;
  RecordInFlight.Version = Answer.Version;
  hold(RecordInFlight, SentAt, Now);
}

void host_slots::hold(const slot_record &Record, base::time_point WrittenAt,
                      base::time_point Now) {
  bool Continues = Held && Held->Record.Slot == Record.Slot && holds(Now);
  base::time_point FloorUsableFrom =
      Continues ? Held->FloorUsableFrom
                : Now + timing::ShareLease + timing::ShareMargin;
  WriteSentAt.erase(WriteSentAt.begin(),
                    WriteSentAt.lower_bound(Record.Sequence));
  Held = held_slot{Record, WrittenAt + timing::SlotLease, FloorUsableFrom};
  scheduleNext(WrittenAt + timing::SlotRenewalInterval);
}

void host_slots::chooseTarget(const std::vector<slot_record> &Slots,
                              base::time_point Now) {
  auto IsOwn = [this](const slot_record &Slot) {
    return Slot.Host == Self.Host && Slot.Slot < SlotCount;
  };
  auto Own = std::find_if(Slots.begin(), Slots.end(), IsOwn);
  if (Own != Slots.end()) {
    auto Sent = WriteSentAt.find(Own->Sequence);
    bool IsSame = Own->Incarnation == Self.Incarnation;
    Replaced = Held && !IsSame;
    if (Replaced)
      return Held.reset();
    if (IsSame && Sent != WriteSentAt.end())
      hold(*Own, Sent->second, Now);
    Target = *Own;
    return;
  }
  Held.reset();
  std::vector<const slot_record *> Rows(SlotCount, nullptr);
  for (const slot_record &Slot : Slots)
    if (Slot.Slot < SlotCount)
      Rows[Slot.Slot] = &Slot;
  // Starts at the hash of the host id: hosts that start together seldom
  // conflict, and a repeated claim finds the slot of the first one.
  std::int64_t Start = base::stableHash(Self.Host.str()) % SlotCount;
  for (std::int64_t Step = 0; Step < SlotCount; ++Step) {
    std::int64_t Slot = (Start + Step) % SlotCount;
    bool Expired = Rows[Slot] &&
                   Tracker.expired(std::to_string(Slot),
                                   timing::SlotLease + timing::SlotMargin, Now);
    if (Rows[Slot] && !Expired)
      continue;
    Target = slot_record{Slot, Rows[Slot] ? Rows[Slot]->Version : 0, {}, 0, 0};
    return;
  }
}

void host_slots::scheduleNext(base::time_point Time) { NextAt = Time; }

void host_slots::release(base::time_point Now) {
  if (Releasing)
    return;
  Releasing = true;
  scheduleNext(Now);
}

bool host_slots::holds(base::time_point Now) const {
  return Held && !Releasing && Now < Held->Deadline &&
         Held->Record.Slot < SlotCount;
}

bool host_slots::floorUsable(base::time_point Now) const {
  return holds(Now) && Now >= Held->FloorUsableFrom;
}

base::time_point host_slots::deadline() const {
  return Held ? Held->Deadline : base::time_point();
}

std::optional<std::int64_t> host_slots::slot() const {
  if (!Held)
    return std::nullopt;
  return Held->Record.Slot;
}

base::json host_slots::dump() const {
  base::json Dump = {{"slot", nullptr}, {"released", Released}};
  if (!Held)
    return Dump;
  Dump["slot"] = Held->Record.Slot;
  Dump["deadline_us"] = base::toMicroseconds(Held->Deadline);
  Dump["floor_from_us"] = base::toMicroseconds(Held->FloorUsableFrom);
  return Dump;
}

} // namespace radishrelay::accounts
