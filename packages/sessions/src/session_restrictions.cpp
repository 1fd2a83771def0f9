// Instances that get no work or little work: in evacuated failure domains, and
// cold ones.
#include "radishrelay/base/rendezvous.h"
#include "radishrelay/base/store_version.h"
#include "radishrelay/sessions/session_engine.h"

#include <algorithm>

namespace radishrelay::sessions {

namespace {

/// Time over which the hosts return to the instances of a failure domain whose
/// evacuation was taken back.
constexpr base::duration ReturnSpread = std::chrono::seconds(2);
/// Time within which the report of an instance that has restarted reaches the
/// hosts: the delay of the list, and of a read of it.
constexpr base::duration RestartReportPeriod = std::chrono::milliseconds(1000);
/// Interval at which a statement asks again for a permit of a cold instance.
constexpr base::duration PermitRetryInterval = std::chrono::milliseconds(20);

base::json namesOf(const std::set<base::failure_domain_id> &Domains) {
  base::json Result = base::json::array();
  for (const base::failure_domain_id &Domain : Domains)
    Result.push_back(Domain.str());
  return Result;
}

} // namespace

void session_engine::recordEvacuations(const catalog_reading &Reading,
                                       base::time_point ConfirmedAt,
                                       base::time_point Now) {
  Evacuations.recordRead(Reading.Evacuated, base::historyOf(Reading.Span.UpTo),
                         ConfirmedAt, Now);
}

void session_engine::applyEvacuations(base::time_point Now) {
  detail::evacuations::changes Changes = Evacuations.advance(Now);
  if (Changes.isEmpty())
    return;
  if (!Changes.Evacuated.empty())
    Log.stateChange("failure domain evacuated",
                    {{"domains", namesOf(Changes.Evacuated)}});
  if (!Changes.TakenBack.empty())
    Log.stateChange("evacuation taken back",
                    {{"domains", namesOf(Changes.TakenBack)}});
  for (auto &[Id, Group] : Groups)
    Group->setEvacuated(Evacuations.evacuated(), Evacuations.closed(), Now);
  Pool.setClosedDomains(Evacuations.closed());
  for (const base::failure_domain_id &Domain : Changes.Closed)
    closeDomain(Domain, Now);
  for (const base::failure_domain_id &Domain : Changes.TakenBack)
    returnTo(Domain, Now);
  ShouldServeWaiting = true;
}

void session_engine::closeDomain(const base::failure_domain_id &Domain,
                                 base::time_point Now) {
  std::vector<session_number> Users;
  for (const auto &[Number, Session] : Sessions) {
    const connection *Connection = connectionOf(Session);
    if (Connection && isClosed(Connection->Instance))
      Users.push_back(Number);
  }
  std::uint64_t Ended = 0;
  for (session_number Number : Users) {
    session &Session = Sessions.at(Number);
    // A statement that was sent before is answered.
    if (Session.Current && Session.Current->Stage == stage::Running)
      continue;
    Ended += Session.Phase == session_phase::InTransaction ? 1 : 0;
    // Closing the connection rolls its transaction back.
    Pool.discard(connectionOf(Session)->Number);
    attemptLost(Session, refusal::Busy,
                "the failure domain of the instance is evacuated", Now);
  }
  Counters.EvacuationTransactionsEnded += Ended;
  base::json Fields = {{"domain", Domain.str()}, {"transactions_ended", Ended}};
  if (auto LastAt = Evacuations.lastStatementAt(Domain))
    Fields["last_statement_us_ago"] = (Now - *LastAt).count();
  Log.stateChange("evacuated failure domain closed", Fields);
}

void session_engine::returnTo(const base::failure_domain_id &Domain,
                              base::time_point Now) {
  for (auto &[Instance, View] : Instances) {
    if (View.Listing.Domain != Domain)
      continue;
    std::uint64_t Hash =
        base::stableHash(Options.Host.str() + ' ' + Instance.str());
    auto Delay = static_cast<std::int64_t>(
        Hash % static_cast<std::uint64_t>(ReturnSpread.count()));
    View.AvoidUntil = std::max(View.AvoidUntil, Now + base::duration(Delay));
  }
}

void session_engine::suspectRestart(instance_view &View,
                                    base::time_point Now) const {
  View.RestartUntil = Now + RestartReportPeriod;
}

bool session_engine::isLimited(const instance_view &View,
                               base::time_point Now) const {
  if (Now >= std::max(View.ColdUntil, View.RestartUntil) || !Catalog)
    return false;
  auto Settings = Catalog->Groups.find(View.Listing.Group);
  return Settings != Catalog->Groups.end() &&
         Settings->second.ColdRatePerSecond > 0;
}

void session_engine::updateColdLimits(base::time_point Now) {
  std::map<base::account_id, accounts::account_limits> Cold;
  NextColdEnd = base::time_point::max();
  for (const auto &[Instance, View] : Instances) {
    if (!isLimited(View, Now))
      continue;
    double Rate = Catalog->Groups.at(View.Listing.Group).ColdRatePerSecond;
    Cold[detail::coldAccount(Instance)] = detail::coldLimits(
        Instance, Rate * Options.ColdOverage + Options.ColdSlack);
    NextColdEnd =
        std::min(NextColdEnd, std::max(View.ColdUntil, View.RestartUntil));
  }
  Limits.setOtherLimits(std::move(Cold), Now);
}

bool session_engine::hasPermit(const session &Session,
                               const instance_view &View,
                               base::time_point Now) {
  if (!isLimited(View, Now))
    return true;
  const std::optional<detail::cold_permit> &Permit = Session.Current->Permit;
  if (Permit && Permit->Instance == View.Listing.Instance &&
      Now < Permit->ValidUntil)
    return true;
  base::account_id Account = detail::coldAccount(View.Listing.Instance);
  if (Limits.hasToken(Account, Now))
    return true;
  Limits.borrow(Account, 1, Now);
  return false;
}

void session_engine::takePermit(session &Session, const instance_view &View,
                                base::time_point Now) {
  std::optional<detail::cold_permit> &Permit = Session.Current->Permit;
  bool HasPermit = Permit && Permit->Instance == View.Listing.Instance &&
                   Now < Permit->ValidUntil;
  if (!isLimited(View, Now) || HasPermit)
    return;
  if (Limits.admit(detail::coldAccount(View.Listing.Instance), Now))
    Permit = {View.Listing.Instance, Now + detail::ColdPermitLifetime};
}

bool session_engine::ensurePermit(session &Session,
                                  const connection &Connection,
                                  base::time_point Now) {
  auto View = Instances.find(Connection.Instance);
  if (View == Instances.end() || !isLimited(View->second, Now))
    return true;
  takePermit(Session, View->second, Now);
  operation &Operation = *Session.Current;
  if (Operation.Permit && Operation.Permit->Instance == Connection.Instance &&
      Now < Operation.Permit->ValidUntil)
    return true;
  if (Operation.Stage != stage::AwaitingPermit)
    ++Counters.ColdWaits;
  Operation.Stage = stage::AwaitingPermit;
  Limits.borrow(detail::coldAccount(Connection.Instance), 1, Now);
  setWake(Session,
          std::min(Now + PermitRetryInterval,
                   Operation.ReceivedAt + Session.Route.StatementTimeout));
  return false;
}

void session_engine::permitDue(session &Session, base::time_point Now) {
  operation &Operation = *Session.Current;
  connection *Connection = connectionOf(Session);
  bool IsInTransaction = Session.Phase == session_phase::InTransaction;
  if (!Connection) {
    attemptLost(Session, refusal::Busy,
                "the connection to the instance was lost", Now);
    return;
  }
  base::time_point Limit =
      Operation.ReceivedAt +
      std::min(Session.Route.TargetLatency, Session.Route.StatementTimeout);
  bool IsTimeOver =
      Now >= (IsInTransaction && Session.Transaction.HasRun
                  ? Operation.ReceivedAt + Session.Route.StatementTimeout
                  : Limit);
  if (!IsTimeOver) {
    beginOrSend(Session, *Connection, Now);
    return;
  }
  ++Counters.ColdRefusals;
  if (!IsInTransaction)
    returnToPool(*Connection, session_phase::Idle, Now);
  answerError(Session, IsInTransaction ? refusal::Aborted : refusal::Busy,
              "the instance is cold and may get no more statements now", Now);
}

} // namespace radishrelay::sessions
