#ifndef RADISHRELAY_ACCOUNTS_SLOT_RECORD_H
#define RADISHRELAY_ACCOUNTS_SLOT_RECORD_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/json.h"
#include "radishrelay/base/store_request.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishrelay::accounts {

/// Table of the platform's table service with one row per host slot.
inline const std::string SlotsTable = "slots";

/// A row of the slots table: one host slot and its holder.
struct slot_record {
  std::int64_t Slot = 0;
  base::row_version Version = 0;
  base::host_id Host;
  std::uint64_t Incarnation = 0;
  /// Incremented with each write of the holder.
  std::uint64_t Sequence = 0;

  friend auto operator<=>(const slot_record &, const slot_record &) = default;
};

/// Parses the slots in \p Rows. Slots with a malformed value have an empty
/// host, so that they still count as claimed.
std::vector<slot_record> parseSlots(const std::vector<base::table_row> &Rows);

/// Key of a slot's row; formatSlot returns its value.
base::row_key slotKey(std::int64_t Slot);
base::json formatSlot(const slot_record &Record);

} // namespace radishrelay::accounts

#endif
