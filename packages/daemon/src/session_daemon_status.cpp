// Status pages of session_daemon: readiness, metrics and the state dump.
#include "radishrelay/daemon/session_daemon.h"

namespace radishrelay::daemon {

void session_daemon::updateGauges() {
  const sessions::engine_counters &Counters = Engine.counters();
  auto Set = [this](const char *Name, std::uint64_t Value) {
    Metrics.setGauge({Name}, static_cast<double>(Value));
  };
  Set("radishrelay_sessions_started", Counters.SessionsStarted);
  Set("radishrelay_sessions_rejected", Counters.SessionsRejected);
  Set("radishrelay_statements_served", Counters.StatementsServed);
  Set("radishrelay_statements_refused", Counters.StatementsRefused);
  Set("radishrelay_reads_on_replicas", Counters.ReadsOnReplicas);
  Set("radishrelay_reads_on_primaries", Counters.ReadsOnPrimaries);
  Set("radishrelay_retried_elsewhere", Counters.StatementRetries);
  Set("radishrelay_rate_exceeded", Counters.RateExceeded);
  Set("radishrelay_evacuated_domains", Engine.evacuatedDomains());
  Set("radishrelay_evacuation_transactions_ended",
      Counters.EvacuationTransactionsEnded);
  Set("radishrelay_evacuation_refused", Counters.EvacuationRefusals);
  Set("radishrelay_home_refused", Counters.HomeRefusals);
  Set("radishrelay_cold_waits", Counters.ColdWaits);
  Set("radishrelay_cold_refused", Counters.ColdRefusals);
  Set("radishrelay_store_history", Engine.storeHistory());
  Set("radishrelay_store_history_changes", Counters.StoreHistoryChanges);
  Set("radishrelay_configuration_version", Engine.configurationVersion());
  Set("radishrelay_backend_connections_opened", Engine.connectionsOpened());
  for (std::size_t Verb = 0; Verb < sessions::BackendVerbCount; ++Verb) {
    auto Name = sessions::verbName(static_cast<sessions::backend_verb>(Verb));
    Metrics.setGauge(
        {"radishrelay_backend_requests", "verb", std::string(Name)},
        static_cast<double>(Engine.requests().at(Verb)));
  }
  for (std::size_t Doubt = 0; Doubt < sessions::AnswerDoubtCount; ++Doubt) {
    auto Name = sessions::doubtName(static_cast<sessions::answer_doubt>(Doubt));
    Metrics.setGauge(
        {"radishrelay_answers_in_doubt", "reason", std::string(Name)},
        static_cast<double>(Counters.AnswersInDoubt.at(Doubt)));
  }
  Set("radishrelay_client_connections", Clients.size());
  Set("radishrelay_backend_connections", Backends.size());
}

void session_daemon::countStoreCall(const std::string &Call) {
  Metrics.increment({"radishrelay_store_calls_total", "call", Call});
}

status_page session_daemon::statusPage(const std::string &Path) {
  constexpr int Unavailable = 503;
  constexpr int NotFound = 404;
  if (Path == Settings.ReadinessPath)
    return Engine.isReady() ? status_page{}
                            : status_page{Unavailable, "text/plain", ""};
  if (Path == "/metrics") {
    updateGauges();
    return {200, "text/plain; version=0.0.4", Metrics.prometheusText()};
  }
  if (Path == "/state")
    return {200, "application/json", Engine.dump().dump()};
  return {NotFound, "text/plain", "no such page\n"};
}

} // namespace radishrelay::daemon
