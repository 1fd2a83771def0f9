#include "instance_store.h"

namespace radishrelay::backend::detail {

sqlite_database &instance_store::committed() {
  catchUp(Committed);
  return Committed.Database;
}

void instance_store::catchUp(copy &Copy) {
  if (Copy.Truncations != Log.truncations()) {
    Copy = copy();
    Copy.Truncations = Log.truncations();
  }
  for (; Copy.Applied < Log.entries().size(); ++Copy.Applied)
    apply(Copy, *Log.entries()[Copy.Applied]);
}

void instance_store::apply(copy &Copy, const log_entry &Entry) {
  Copy.Database.begin();
  for (const statement &Statement : Entry.Statements)
    if (!Copy.Database.run(Statement))
      ++FailedApplies;
  Copy.Database.commit();
}

void instance_store::beginWrite() {
  catchUp(Working);
  Working.Database.begin();
  IsWriting = true;
}

void instance_store::commit(std::vector<statement> Writes,
                            base::time_point Now) {
  Working.Database.commit();
  IsWriting = false;
  Log.append({std::move(Writes), Now});
  Working.Applied = Log.entries().size();
}

void instance_store::rollback() {
  Working.Database.rollback();
  IsWriting = false;
}

} // namespace radishrelay::backend::detail
