#include "local_deployment.h"

#include "database_faults.h"

#include "radishrelay/base/digest.h"
#include "radishrelay/cli/operator_client.h"

#include <algorithm>
#include <csignal>
#include <map>

namespace radishrelay::cli {

namespace {

base::failure stepFailure(const std::string &Peer, const std::string &Detail) {
  return {std::make_error_code(std::errc::invalid_argument), "run fault step",
          Peer, Detail};
}

std::string loopback(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

tables::stand_in_fault platformFault(const load_fault &Fault) {
  using mode = tables::stand_in_fault_mode;
  static const std::map<std::string, mode> Modes{
      {"none", mode::None},
      {"down", mode::Down},
      {"slow", mode::Slow},
      {"lose_answers", mode::LoseAnswers},
      {"pause", mode::Pause}};
  return {Modes.at(Fault.Action),
          std::chrono::milliseconds(Fault.Milliseconds)};
}

} // namespace

base::failure local_deployment::apply(const load_fault &Fault) {
  switch (Fault.Subject) {
  case fault_subject::Instance:
    return applyToInstance(Fault);
  case fault_subject::Platform:
    Platform.setFault(platformFault(Fault));
    return {};
  case fault_subject::Host:
    return applyToHost(Fault);
  case fault_subject::Key:
    return withdrawKey(Fault.Target);
  }
  return {};
}

base::failure local_deployment::applyToInstance(const load_fault &Fault) {
  auto Name = std::find(GroupNames.begin(), GroupNames.end(), Fault.Target);
  if (Name == GroupNames.end())
    return stepFailure(Fault.Target, "no such group");
  base::json Body = base::json::object();
  Body["instance"] = Fault.Instance;
  Body["fault"] = Fault.Action;
  Body["ms"] = static_cast<std::uint64_t>(Fault.Milliseconds);
  auto Index = static_cast<std::size_t>(Name - GroupNames.begin());
  return injectFault(*Groups[Index], Body);
}

base::failure local_deployment::applyToHost(const load_fault &Fault) {
  static const std::map<std::string, int> Signals{{"kill", SIGKILL},
                                                  {"stop", SIGSTOP},
                                                  {"cont", SIGCONT},
                                                  {"term", SIGTERM}};
  for (host &Host : Hosts) {
    if (Host.Name != Fault.Target)
      continue;
    if (Fault.Action == "start")
      startHost(Host);
    else
      Host.Process->signal(Signals.at(Fault.Action));
    return {};
  }
  return stepFailure(Fault.Target, "no such host");
}

base::failure local_deployment::withdrawKey(const std::string &Target) {
  constexpr int HttpOk = 200;
  constexpr int HttpAccepted = 202;
  constexpr std::size_t SubmissionIdBytes = 16;
  operator_endpoint Endpoint;
  Endpoint.Address = loopback(Hosts.front().Operators);
  Endpoint.Token = OperatorToken;
  auto Current = callOperator(Endpoint, {"GET", "/v1/configuration"});
  if (!Current)
    return Current.error();
  // Without a version the patch would be unconditional, and a daemon without
  // the configuration API may answer any path with its state.
  if (Current->Status != HttpOk || Current->Version.empty())
    return stepFailure(Endpoint.Address,
                       "GET /v1/configuration answered " +
                           std::to_string(Current->Status) +
                           (Current->Version.empty() ? " without ETag" : ""));
  std::size_t Slash = Target.find('/');
  base::json Operation = base::json::object();
  Operation["operation"] = "withdraw_key";
  Operation["account"] = Target.substr(0, Slash);
  Operation["key"] = Target.substr(Slash + 1);
  Operation["force"] = true;
  base::json Body = base::json::object();
  Body["reason"] = "load run";
  Body["submission"] =
      base::encodeHex(base::secureRandomBytes(SubmissionIdBytes));
  Body["operations"] = base::json::array({Operation});
  auto Answer = callOperator(
      Endpoint, {"PATCH", "/v1/configuration", Current->Version, Body.dump()});
  if (!Answer)
    return Answer.error();
  if (Answer->Status != HttpOk && Answer->Status != HttpAccepted)
    return stepFailure(Endpoint.Address,
                       "PATCH answered " + std::to_string(Answer->Status));
  return {};
}

} // namespace radishrelay::cli
