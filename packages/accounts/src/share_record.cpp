#include "radishrelay/accounts/share_record.h"

namespace radishrelay::accounts {

share_record parseShare(const base::table_row &Row) {
  share_record Record{base::account_id(Row.Key.Key), Row.Version, {}};
  if (!Row.Value.is_object())
    return Record;
  for (const auto &[Domain, Value] : Row.Value.items()) {
    if (!Value.is_object())
      continue;
    share_entry Entry;
    Entry.Owner = base::host_id(Value.value("owner", std::string()));
    Entry.Incarnation = Value.value("incarnation", std::uint64_t{0});
    Entry.Sequence = Value.value("sequence", std::uint64_t{0});
    Entry.Share = Value.value("share_ppm", millionths{0});
    Entry.Demand = Value.value("demand", std::int64_t{0});
    Record.Domains.emplace(base::failure_domain_id(Domain), Entry);
  }
  return Record;
}

base::row_key shareKey(const base::account_id &Account) {
  return {SharesTable, Account.str()};
}

base::json formatShare(const share_record &Record) {
  base::json Value = base::json::object();
  for (const auto &[Domain, Entry] : Record.Domains)
    Value[Domain.str()] = {{"owner", Entry.Owner.str()},
                           {"incarnation", Entry.Incarnation},
                           {"sequence", Entry.Sequence},
                           {"share_ppm", Entry.Share},
                           {"demand", Entry.Demand}};
  return Value;
}

} // namespace radishrelay::accounts
