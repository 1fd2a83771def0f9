#include "operator_commands.h"

#include "radishrelay/base/digest.h"
#include "radishrelay/cli/command_options.h"
#include "radishrelay/cli/operator_client.h"

#include <Poco/Environment.h>
#include <Poco/String.h>

#include <fstream>
#include <iterator>

namespace radishrelay::cli {

namespace {

namespace options = boost::program_options;

constexpr int HttpAccepted = 202;
constexpr int HttpRedirection = 300;
constexpr std::size_t SubmissionIdBytes = 16;

std::optional<std::string> readFile(const std::string &FileName) {
  std::ifstream Input(FileName);
  if (!Input)
    return std::nullopt;
  return std::string{std::istreambuf_iterator<char>(Input), {}};
}

options::options_description endpointOptions() {
  options::options_description Options("Options");
  auto Add = Options.add_options();
  Add("operators",
      options::value<std::string>()->default_value("127.0.0.1:8081"),
      "address of a host's operators' listener");
  Add("token-file", options::value<std::string>(),
      "file with the operator's token; else the environment variable "
      "RADISHRELAY_TOKEN is used");
  Add("certificate-authority", options::value<std::string>(),
      "file with the certificate authority; implies HTTPS");
  Add("timeout", options::value<int>()->default_value(10),
      "seconds to wait for the answer");
  return Options;
}

std::optional<operator_endpoint>
endpointFrom(const options::variables_map &Values,
             const command_streams &Streams) {
  operator_endpoint Endpoint;
  Endpoint.Address = Values["operators"].as<std::string>();
  Endpoint.TimeoutSeconds = Values["timeout"].as<int>();
  Endpoint.Token = Poco::Environment::get("RADISHRELAY_TOKEN", "");
  if (Values.count("token-file")) {
    std::string FileName = Values["token-file"].as<std::string>();
    std::optional<std::string> Token = readFile(FileName);
    if (!Token) {
      Streams.Error << "radishrelay: cannot read token file " << FileName
                    << "\n";
      return std::nullopt;
    }
    Endpoint.Token = Poco::trim(*Token);
  }
  if (Values.count("certificate-authority")) {
    Endpoint.Secure = true;
    Endpoint.CertificateAuthority =
        Values["certificate-authority"].as<std::string>();
  }
  return Endpoint;
}

exit_code printAnswer(const base::expected<operator_answer> &Answer,
                      const command_streams &Streams) {
  if (!Answer) {
    Streams.Error << "radishrelay: " << Answer.error() << "\n";
    return exit_code::Failed;
  }
  bool Succeeded = Answer->Status < HttpRedirection;
  std::ostream &Out = Succeeded ? Streams.Out : Streams.Error;
  Out << Answer->Body;
  if (!Answer->Body.ends_with('\n'))
    Out << "\n";
  if (Answer->Status == HttpAccepted)
    Streams.Error << "radishrelay: accepted, not yet completed\n";
  return Succeeded ? exit_code::Success : exit_code::Failed;
}

/// Parses the common options and sends one request without a body.
exit_code runSimple(const operator_call &Call,
                    const std::vector<std::string> &Arguments,
                    const command_streams &Streams) {
  exit_code Code = exit_code::Success;
  auto Values = parseOptions(endpointOptions(), Arguments, Streams, Code);
  if (!Values)
    return Code;
  auto Endpoint = endpointFrom(*Values, Streams);
  if (!Endpoint)
    return exit_code::Usage;
  return printAnswer(callOperator(*Endpoint, Call), Streams);
}

/// Reads the patch operations and wraps them with author's data. Returns
/// nothing after an error message.
std::optional<std::string> patchBody(const options::variables_map &Values,
                                     const command_streams &Streams) {
  std::string FileName = Values["file"].as<std::string>();
  std::optional<std::string> Text = readFile(FileName);
  if (!Text) {
    Streams.Error << "radishrelay: cannot read " << FileName << "\n";
    return std::nullopt;
  }
  base::json Operations = base::json::parse(*Text, nullptr, false);
  if (!Operations.is_array()) {
    Streams.Error << "radishrelay: " << FileName
                  << ": expected a JSON array of patch operations\n";
    return std::nullopt;
  }
  std::string Submission =
      Values.count("submission")
          ? Values["submission"].as<std::string>()
          : base::encodeHex(base::secureRandomBytes(SubmissionIdBytes));
  base::json Body = base::json::object();
  Body["reason"] = Values["reason"].as<std::string>();
  Body["submission"] = Submission;
  Body["operations"] = std::move(Operations);
  Streams.Error << "radishrelay: submission " << Submission << "\n";
  return Body.dump();
}

} // namespace

exit_code runConfigShow(const std::vector<std::string> &Arguments,
                        const command_streams &Streams) {
  return runSimple({"GET", "/v1/configuration"}, Arguments, Streams);
}

exit_code runConfigHistory(const std::vector<std::string> &Arguments,
                           const command_streams &Streams) {
  return runSimple({"GET", "/v1/configuration/history"}, Arguments, Streams);
}

exit_code runState(const std::vector<std::string> &Arguments,
                   const command_streams &Streams) {
  return runSimple({"GET", "/v1/state"}, Arguments, Streams);
}

exit_code runAudit(const std::vector<std::string> &Arguments,
                   const command_streams &Streams) {
  return runSimple({"GET", "/v1/audit"}, Arguments, Streams);
}

exit_code runDrain(const std::vector<std::string> &Arguments,
                   const command_streams &Streams) {
  return runSimple({"POST", "/v1/drain"}, Arguments, Streams);
}

exit_code runMetrics(const std::vector<std::string> &Arguments,
                     const command_streams &Streams) {
  return runSimple({"GET", "/metrics"}, Arguments, Streams);
}

exit_code runConfigPatch(const std::vector<std::string> &Arguments,
                         const command_streams &Streams) {
  options::options_description Options = endpointOptions();
  auto Add = Options.add_options();
  Add("expect", options::value<std::string>()->required(),
      "version of the configuration that the patch is made for");
  Add("reason", options::value<std::string>()->required(),
      "why the change is made");
  Add("submission", options::value<std::string>(),
      "identifier of the submission; repeat it after a lost answer");
  Add("file", options::value<std::string>()->required(),
      "file with a JSON array of patch operations");
  exit_code Code = exit_code::Success;
  auto Values = parseOptions(Options, Arguments, Streams, Code);
  if (!Values)
    return Code;
  auto Endpoint = endpointFrom(*Values, Streams);
  auto Body = patchBody(*Values, Streams);
  if (!Endpoint || !Body)
    return exit_code::Usage;
  operator_call Call{"PATCH", "/v1/configuration",
                     (*Values)["expect"].as<std::string>(), *Body};
  return printAnswer(callOperator(*Endpoint, Call), Streams);
}

} // namespace radishrelay::cli
