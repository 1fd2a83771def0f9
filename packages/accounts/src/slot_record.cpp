#include "radishrelay/accounts/slot_record.h"

#include <charconv>

namespace radishrelay::accounts {

namespace {

std::optional<std::int64_t> parseNumber(const std::string &Text) {
  std::int64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data(), End, Number);
  if (Result.ec != std::errc() || Result.ptr != End || Number < 0)
    return std::nullopt;
  return Number;
}

} // namespace

std::vector<slot_record> parseSlots(const std::vector<base::table_row> &Rows) {
  std::vector<slot_record> Slots;
  for (const base::table_row &Row : Rows) {
    auto Number = parseNumber(Row.Key.Key);
    if (Row.Key.Table != SlotsTable || Row.Value.is_null() || !Number)
      continue;
    slot_record Record{*Number, Row.Version, base::host_id(), 0, 0};
    if (Row.Value.is_object()) {
      Record.Host = base::host_id(Row.Value.value("host", std::string()));
      Record.Incarnation = Row.Value.value("incarnation", std::uint64_t{0});
      Record.Sequence = Row.Value.value("sequence", std::uint64_t{0});
    }
    Slots.push_back(Record);
  }
  return Slots;
}

base::row_key slotKey(std::int64_t Slot) {
  return {SlotsTable, std::to_string(Slot)};
}

base::json formatSlot(const slot_record &Record) {
  return {{"host", Record.Host.str()},
          {"incarnation", Record.Incarnation},
          {"sequence", Record.Sequence}};
}

} // namespace radishrelay::accounts
