#include "radishrelay/fleet/configuration_replica.h"
#include "radishrelay/fleet/witness_majority.h"

namespace radishrelay::fleet {

namespace {

/// If more versions than this are missing, the whole document is read instead
/// of one history record per version.
constexpr configuration_version MaxHistoryReads = 16;

} // namespace

void configuration_replica::pollStore(base::time_point Now,
                                      replica_actions &Actions) {
  bool ShouldRead = !Index || isWitness(Index->document(), Self);
  // Without witnesses, only the store provides evidence of freshness.
  ShouldRead = ShouldRead || Index->document().Witnesses.empty();
  bool HasPendingRead = PendingRead && Now < PendingRead->Deadline;
  bool IsDue = !LastPollAt || Now - *LastPollAt >= Options.StorePollInterval;
  if (!ShouldRead || HasPendingRead || !IsDue)
    return;
  LastPollAt = Now;
  readStore(store_read::Version, Now, Actions);
}

void configuration_replica::readStore(store_read Kind, base::time_point Now,
                                      replica_actions &Actions) {
  base::row_key Key = versionRow();
  if (Kind == store_read::History)
    Key = historyRow(version() + 1);
  if (Kind == store_read::Current)
    Key = currentRow();
  PendingRead = pending_read{++LastReadId, Kind, Now + Options.AnswerTimeout};
  Actions.push_back(read_store{LastReadId, base::read_row{Key}});
}

void configuration_replica::readMissingVersion(base::time_point Now,
                                               replica_actions &Actions) {
  if (StoreVersion <= version())
    return;
  bool UseHistory =
      Index && !HistoryUnusable && StoreVersion - version() <= MaxHistoryReads;
  readStore(UseHistory ? store_read::History : store_read::Current, Now,
            Actions);
}

replica_actions configuration_replica::onStoreAnswer(
    std::uint64_t Id, const base::store_answer &Answer, base::time_point Now) {
  replica_actions Actions;
  if (!PendingRead || PendingRead->Id != Id)
    return Actions;
  store_read Kind = PendingRead->Kind;
  PendingRead.reset();
  if (Answer.Outcome != base::store_outcome::Done || Answer.Rows.empty())
    return Actions;
  const base::table_row &Row = Answer.Rows.front();
  if (Kind == store_read::Version)
    onVersionRow(Row, Answer.SentAt);
  if (Kind == store_read::History)
    onHistoryRow(Row, Actions);
  if (Kind == store_read::Current)
    onCurrentRow(Row, Answer.SentAt, Actions);
  bool Failed = Kind == store_read::Current && StoreVersion > version();
  if (!Failed)
    readMissingVersion(Now, Actions);
  return Actions;
}

void configuration_replica::onVersionRow(const base::table_row &Row,
                                         base::time_point SentAt) {
  if (!Row.Value.is_object() || !Row.Value.contains("version"))
    return;
  const base::json &Version = Row.Value["version"];
  if (!Version.is_number_integer() || Version.get<std::int64_t>() < 0)
    return;
  StoreVersion = std::max(StoreVersion, Version.get<configuration_version>());
  Evidence.onStoreVersion(Version.get<configuration_version>(), SentAt);
}

void configuration_replica::onHistoryRow(const base::table_row &Row,
                                         replica_actions &Actions) {
  auto Record = parseHistory(Row.Value);
  // A peer may have delivered the version while the read was in progress.
  if (Record && Record->Version <= version())
    return;
  configuration_document Next = Index->document();
  bool IsUsable = Record && Record->Version == version() + 1 &&
                  tryApply(Record->Patch, Next) &&
                  configurationDigest(Next) == Record->Digest;
  if (!IsUsable) {
    HistoryUnusable = true;
    return;
  }
  std::deque<configuration_patch> RecentPatches = Patches;
  RecentPatches.push_back(std::move(Record->Patch));
  adopt(Next, std::move(RecentPatches), Actions);
}

void configuration_replica::onCurrentRow(const base::table_row &Row,
                                         base::time_point SentAt,
                                         replica_actions &Actions) {
  auto Document = parseConfiguration(Row.Value);
  if (!Document)
    return;
  for (replica_action &Action : onDocument(*Document))
    Actions.push_back(std::move(Action));
  Evidence.onStoreVersion(Document->Version, SentAt);
}

} // namespace radishrelay::fleet
