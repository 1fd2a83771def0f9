#include "radishrelay/daemon/limits_runtime.h"

#include "radishrelay/accounts/limits_timing.h"

namespace radishrelay::daemon {

namespace {

accounts::limits_configuration
limitsOf(const fleet::configuration_document &Document) {
  accounts::limits_configuration Limits;
  Limits.Version = Document.Version;
  Limits.SlotCount = Document.SlotCount;
  Limits.FloorFraction = Document.FloorFractionPpm;
  for (const fleet::client_account &Account : Document.Accounts)
    Limits.Accounts.push_back(
        {Account.Id, Account.RatePerSecond, Account.Burst});
  return Limits;
}

} // namespace

limits_runtime::limits_runtime(const accounts::host_identity &Self,
                               limits_outputs &Outputs)
    : Limiter(Self), Outputs(Outputs) {}

void limits_runtime::configure(const fleet::configuration_document &Document,
                               base::time_point Now) {
  apply(Limiter.configure(limitsOf(Document), Now), Now);
}

void limits_runtime::setLive(std::vector<accounts::live_host> Hosts,
                             base::time_point Now) {
  apply(Limiter.setLive(std::move(Hosts), Now), Now);
}

void limits_runtime::admit(accounts::request_number Request,
                           const base::account_id &Account,
                           base::time_point Deadline, base::time_point Now) {
  apply(Limiter.admit(Request, Account, Deadline, Now), Now);
}

void limits_runtime::receive(const base::host_id &From,
                             const accounts::limiter_message &Message,
                             base::time_point Now) {
  apply(Limiter.receive(From, Message, Now), Now);
}

void limits_runtime::onStore(std::uint64_t Id, const base::store_answer &Answer,
                             base::time_point Now) {
  if (auto Found = StoreRequests.extract(Id))
    apply(Limiter.storeAnswered(Found.mapped(), Answer, Now), Now);
}

void limits_runtime::tick(base::time_point Now) {
  if (Now < NextTick)
    return;
  NextTick = Now + accounts::timing::TickInterval;
  apply(Limiter.tick(Now), Now);
}

void limits_runtime::drain(base::time_point Now) {
  apply(Limiter.drain(Now), Now);
}

void limits_runtime::apply(const accounts::limiter_actions &Actions,
                           base::time_point Now) {
  for (const accounts::limiter_action &Action : Actions)
    std::visit([&](const auto &Content) { on(Content, Now); }, Action);
}

void limits_runtime::on(const accounts::ask_store &Action,
                        base::time_point Now) {
  std::uint64_t Id = ++LastStoreRequest;
  StoreRequests.emplace(Id, Action.User);
  if (Outputs.submitLimitsRequest(Id, Action.Request))
    return;
  base::store_answer NotSent;
  NotSent.Outcome = base::store_outcome::NotDone;
  NotSent.SentAt = Now;
  onStore(Id, NotSent, Now);
}

void limits_runtime::on(const accounts::send_loan_message &Action,
                        base::time_point Now) {
  (void)Now;
  // The thread may have been paused after the decision, so the clock is read
  // again.
  if (Outputs.clock() <= Action.ValidUntil)
    Outputs.sendLimiterMessage(Action.To, Action.Message);
}

void limits_runtime::on(const accounts::request_decided &Action,
                        base::time_point Now) {
  (void)Now;
  if (!std::holds_alternative<accounts::waiting>(Action.Admission))
    Outputs.onAdmission(Action.Request, Action.Admission);
}

} // namespace radishrelay::daemon
