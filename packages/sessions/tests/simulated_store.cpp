#include "support/simulated_store.h"

#include "radishrelay/base/store_version.h"

namespace radishrelay::sessions::tests {

namespace {

constexpr base::duration TickInterval = std::chrono::milliseconds(20);
constexpr base::duration ReportInterval = std::chrono::milliseconds(1200);
constexpr base::duration EntryLifetime = 3 * ReportInterval;
constexpr base::duration CopyInterval = std::chrono::milliseconds(250);
constexpr std::size_t MaxCopies = 48;
/// Time after a restore within which the operators write again what was lost.
constexpr base::duration OperatorDelay = std::chrono::milliseconds(1800);

} // namespace

simulated_store::simulated_store(event_queue &Queue, simulated_network &Network,
                                 const simulated_groups &Groups)
    : Queue(Queue), Network(Network), Groups(Groups) {
  Network.place(Node, simulated_network::PlatformDomain);
  tick();
}

void simulated_store::tick() {
  Queue.scheduleIn(TickInterval, [this] { tick(); });
  takeReports();
  copyIfDue();
}

void simulated_store::copyIfDue() {
  bool IsDue =
      Copies.empty() || Queue.now() >= Copies.back().CopiedAt + CopyInterval;
  if (!KeepsCopies || IsDown || !IsDue)
    return;
  Copies.push_back({Rows, Entries, Evacuated, Version, Queue.now()});
  if (Copies.size() > MaxCopies)
    Copies.pop_front();
}

void simulated_store::restore(base::duration Age) {
  while (Copies.size() > 1 && Copies.back().CopiedAt + Age > Queue.now())
    Copies.pop_back();
  if (Copies.empty())
    return;
  std::uint64_t History = base::historyOf(Version) + 1;
  contents Copy = Copies.back();
  Rows = std::move(Copy.Rows);
  Entries = std::move(Copy.Entries);
  Version = base::versionIn(History, base::storeNumberOf(Copy.Version));
  ListingVersion = Version;
  Evacuated = std::move(Copy.Evacuated);
  EvacuationsVersion = Version;
  Queue.scheduleIn(OperatorDelay, [this] {
    for (const auto &[Domain, IsWanted] : WantedEvacuations)
      setEvacuated(Domain.str(), IsWanted);
  });
  for (auto &[Key, Row] : Rows)
    Row.Version = base::versionIn(History, base::storeNumberOf(Row.Version));
  for (auto &[Id, Entry] : Entries)
    Entry.ReportedAt = Queue.now();
}

void simulated_store::takeReport(const simulated_instance &Instance) {
  const base::instance_id &Id = Instance.Listing.Instance;
  bool Reaches = Instance.IsRunning && !IsDown &&
                 Network.reaches(Id.str(), Node) &&
                 Queue.now() >= Instance.FirstReportAt;
  if (!Reaches)
    return;
  instance_listing Listing = Instance.Listing;
  Listing.Role = Instance.Role;
  Listing.ColdTime =
      std::max(base::duration{}, Instance.ColdUntil - Queue.now());
  auto Known = Entries.find(Id);
  bool IsChanged =
      Known == Entries.end() || !Known->second.Listing.hasSameContent(Listing);
  bool IsDue =
      IsChanged || Queue.now() >= Known->second.ReportedAt + ReportInterval;
  if (!IsDue)
    return;
  Listing.Sequence = ++Reports[Id];
  Entries[Id] = {Listing, Queue.now()};
  if (IsChanged)
    ListingVersion = ++Version;
}

void simulated_store::takeReports() {
  for (const auto &Group : Groups.all())
    for (const auto &[Id, Instance] : Group->instances())
      takeReport(Instance);
  auto Expired = std::erase_if(Entries, [&](const auto &Entry) {
    const simulated_instance &Instance =
        Groups.of(Entry.first).instances().at(Entry.first);
    // An instance that ends as planned removes its entry.
    bool HasLeft = Instance.Log.empty() && !Instance.IsRunning &&
                   Instance.Listing.Draining && !IsDown &&
                   Network.reaches(Entry.first.str(), Node);
    return HasLeft || Queue.now() >= Entry.second.ReportedAt + EntryLifetime;
  });
  if (Expired > 0)
    ListingVersion = ++Version;
}

instance_reading simulated_store::listing() const {
  instance_reading Reading;
  for (const auto &[Id, Entry] : Entries)
    Reading.List.push_back(Entry.Listing);
  Reading.Span.UpTo = Version;
  Reading.ChangedVersion = ListingVersion;
  return Reading;
}

void simulated_store::setEvacuated(const std::string &Name, bool Value) {
  base::failure_domain_id Domain(Name);
  WantedEvacuations[Domain] = Value;
  if (Evacuated.contains(Domain) == Value)
    return;
  // The operators try again until the store acknowledges the change.
  if (IsDown) {
    Queue.scheduleIn(TickInterval, [this, Domain] {
      setEvacuated(Domain.str(), WantedEvacuations.at(Domain));
    });
    return;
  }
  if (Value)
    Evacuated[Domain] = Queue.now();
  else
    Evacuated.erase(Domain);
  EvacuationsVersion = ++Version;
}

catalog_reading simulated_store::evacuations() const {
  catalog_reading Reading;
  Reading.Span.UpTo = Version;
  for (const auto &[Domain, Since] : Evacuated)
    Reading.Evacuated.insert(Domain);
  return Reading;
}

std::optional<base::time_point>
simulated_store::evacuatedSince(const base::failure_domain_id &Domain) const {
  auto Entry = Evacuated.find(Domain);
  return Entry == Evacuated.end() ? std::nullopt : std::optional(Entry->second);
}

void simulated_store::put(const base::row_key &Key, const base::json &Value) {
  Rows[Key] = {Key, ++Version, Value};
}

base::store_answer
simulated_store::execute(const base::store_request &Request) {
  base::store_answer Answer;
  Answer.Outcome = base::store_outcome::Done;
  Answer.Version = Version;
  if (const auto *Read = std::get_if<base::read_row>(&Request)) {
    auto Row = Rows.find(Read->Key);
    if (Row != Rows.end())
      Answer.Rows.push_back(Row->second);
    return Answer;
  }
  if (const auto *Table = std::get_if<base::read_table>(&Request)) {
    for (const auto &[Key, Row] : Rows)
      if (Key.Table == Table->Table)
        Answer.Rows.push_back(Row);
    return Answer;
  }
  const auto &Transaction = std::get<base::store_transaction>(Request);
  for (const base::row_condition &Condition : Transaction.Conditions) {
    auto Row = Rows.find(Condition.Key);
    base::row_version Present = Row == Rows.end() ? 0 : Row->second.Version;
    // The store does not know in which history a version was read.
    if (base::storeNumberOf(Present) !=
        base::storeNumberOf(Condition.Version)) {
      Answer.Outcome = base::store_outcome::Conflict;
      return Answer;
    }
  }
  Answer.Version = ++Version;
  for (const base::row_write &Write : Transaction.Writes) {
    if (Write.Value.is_null())
      Rows.erase(Write.Key);
    else
      Rows[Write.Key] = {Write.Key, Version, Write.Value};
  }
  return Answer;
}

} // namespace radishrelay::sessions::tests
