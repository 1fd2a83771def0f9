#include "radishrelay/daemon/session_settings.h"

#include "radishrelay/base/settings_table.h"

namespace radishrelay::daemon {

namespace {

using options = session_settings;
using base::addressSetting;
using base::choiceSetting;
using base::decimalSetting;
using base::integerSetting;
using base::mapSetting;
using base::presence;
using base::textSetting;

constexpr std::int64_t MaxDrainMilliseconds = 600'000;
constexpr double MaxColdOverage = 100;
constexpr double MaxColdSlack = 10'000;

const base::settings_table<options> &settingsTable() {
  static const base::settings_table<options> Table({
      textSetting("host", "id", &options::HostId, presence::Required),
      textSetting("host", "failure_domain", &options::FailureDomain,
                  presence::Required),
      addressSetting("sessions", "address", &options::SessionsAddress,
                     presence::Required),
      addressSetting("readiness", "address", &options::ReadinessAddress,
                     presence::Required),
      textSetting("readiness", "path", &options::ReadinessPath),
      addressSetting("metrics", "address", &options::MetricsAddress,
                     presence::Required),
      addressSetting("peers", "address", &options::PeersAddress,
                     presence::Required),
      addressSetting("store", "address", &options::StoreAddress,
                     presence::Required),
      addressSetting("promotions", "address", &options::PromotionsAddress,
                     presence::Required),
      integerSetting("drain", "leaving_ms", &options::LeavingMilliseconds,
                     {0, MaxDrainMilliseconds}),
      integerSetting("drain", "grace_ms", &options::GraceMilliseconds,
                     {0, MaxDrainMilliseconds}),
      integerSetting("evacuation", "period_ms",
                     &options::EvacuationMilliseconds,
                     {0, MaxDrainMilliseconds}),
      decimalSetting("cold_instances", "overage", &options::ColdOverage,
                     {1, MaxColdOverage}),
      decimalSetting("cold_instances", "slack", &options::ColdSlack,
                     {0, MaxColdSlack}),
      mapSetting("regions", "domain.*", &options::Regions),
      choiceSetting("log", "level", &options::LogLevel,
                    {"debug", "info", "warning", "error"}),
  });
  return Table;
}

} // namespace

base::expected<session_settings>
readSessionSettings(const std::string &FileName) {
  base::expected<base::ini_document> Document = base::readIniFile(FileName);
  if (!Document)
    return Document.error();
  return settingsTable().parse(*Document);
}

} // namespace radishrelay::daemon
