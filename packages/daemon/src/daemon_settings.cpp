#include "radishrelay/daemon/daemon_settings.h"

#include "radishrelay/base/settings_table.h"

namespace radishrelay::daemon {

namespace {

using options = daemon_settings;
using base::addressSetting;
using base::choiceSetting;
using base::integerSetting;
using base::mapSetting;
using base::presence;
using base::textSetting;

constexpr std::size_t DigestHexLength = 64;
constexpr std::size_t MinSecretLength = 16;

const base::settings_table<options> &settingsTable() {
  static const base::settings_table<options> Table({
      textSetting("host", "id", &options::HostId, presence::Required),
      textSetting("host", "failure_domain", &options::FailureDomain,
                  presence::Required),
      addressSetting("callers", "address", &options::CallersAddress),
      textSetting("callers", "certificate", &options::CallersCertificate),
      textSetting("callers", "private_key", &options::CallersPrivateKey),
      addressSetting("operators", "address", &options::OperatorsAddress),
      textSetting("operators", "certificate", &options::OperatorsCertificate),
      textSetting("operators", "private_key", &options::OperatorsPrivateKey),
      mapSetting("operators", "token_digest.*", &options::OperatorTokenDigests),
      addressSetting("peers", "address", &options::PeersAddress),
      textSetting("peers", "join", &options::PeersJoin),
      textSetting("peers", "secret", &options::PeersSecret, presence::Required),
      addressSetting("platform", "address", &options::PlatformAddress,
                     presence::Required),
      integerSetting("platform", "timeout_ms",
                     &options::PlatformTimeoutMilliseconds, {10, 60000}),
      choiceSetting("log", "level", &options::LogLevel,
                    {"debug", "info", "warning", "error"}),
      integerSetting("limits", "max_requests_in_flight",
                     &options::MaxRequestsInFlight, {1, 65536}),
      integerSetting("drain", "balancer_wait_ms",
                     &options::BalancerWaitMilliseconds, {0, 60000}),
      integerSetting("drain", "timeout_ms", &options::DrainTimeoutMilliseconds,
                     {0, 600000}),
  });
  return Table;
}

base::failure settingFailure(const base::ini_document &Document,
                             const std::string &Setting,
                             const std::string &Allowed) {
  return {make_error_code(base::settings_error::ValueMalformed),
          "check settings", Document.FileName,
          Setting + "; allowed: " + Allowed};
}

/// Checks the rules that the settings table cannot express.
base::failure checkTogether(const base::ini_document &Document,
                            const options &Options) {
  for (const auto &[Name, Digest] : Options.OperatorTokenDigests)
    if (Digest.size() != DigestHexLength ||
        Digest.find_first_not_of("0123456789abcdef") != std::string::npos)
      return settingFailure(Document, "[operators] token_digest." + Name,
                            "the SHA-256 of the token as 64 lower-case "
                            "hexadecimal digits");
  if (Options.PeersSecret.size() < MinSecretLength)
    return settingFailure(Document, "[peers] secret", "at least 16 characters");
  if (Options.CallersCertificate.empty() != Options.CallersPrivateKey.empty())
    return settingFailure(Document, "[callers] certificate, private_key",
                          "both or neither");
  if (Options.OperatorsCertificate.empty() !=
      Options.OperatorsPrivateKey.empty())
    return settingFailure(Document, "[operators] certificate, private_key",
                          "both or neither");
  return {};
}

} // namespace

base::expected<daemon_settings>
parseDaemonSettings(const base::ini_document &Document) {
  base::expected<daemon_settings> Settings = settingsTable().parse(Document);
  if (!Settings)
    return Settings;
  if (base::failure Failure = checkTogether(Document, *Settings))
    return Failure;
  return Settings;
}

base::expected<daemon_settings>
readDaemonSettings(const std::string &FileName) {
  base::expected<base::ini_document> Document = base::readIniFile(FileName);
  if (!Document)
    return Document.error();
  return parseDaemonSettings(*Document);
}

} // namespace radishrelay::daemon
