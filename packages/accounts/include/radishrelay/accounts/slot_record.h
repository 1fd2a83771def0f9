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

/// A row of the table of host slots.
struct slot_record {
  std::int64_t Slot = 0;
  base::row_version Version = 0;
  base::host_id Host;
  std::uint64_t Incarnation = 0;
  /// Rises with each write of the holder.
  std::uint64_t Sequence = 0;

  friend auto operator<=>(const slot_record &, const slot_record &) = default;
};

/// The slots in \p Rows; rows that cannot be read are kept with an empty host,
/// so that they still count as claimed.
std::vector<slot_record> parseSlots(const std::vector<base::table_row> &Rows);

/// Key and value of a slot's row.
base::row_key slotKey(std::int64_t Slot);
base::json formatSlot(const slot_record &Record);

} // namespace radishrelay::accounts

#endif
