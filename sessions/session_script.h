#ifndef RADISHRELAY_SESSIONS_SESSION_SCRIPT_H
#define RADISHRELAY_SESSIONS_SESSION_SCRIPT_H

#include "deployment.h"

#include <map>
#include <string>
#include <vector>

namespace radishrelay::sessions {

/// Runs a session script against a deployment and writes its transcript.
///
/// A line of a script is one of
///   # TEXT                       a comment, copied to the transcript
///   HOST METHOD PATH [NAME=VALUE...] [BODY]
///   until STATUS HOST METHOD ... repeats the request until it has the status
///   operator HOST METHOD PATH [NAME=VALUE...] [BODY]
///   until-operator STATUS HOST METHOD ...
///   fault INSTANCE NAME [MS]     a fault of the stand-in database group
///   platform MODE                a fault of the stand-in platform
///   signal HOST KILL|STOP|CONT|TERM
///   end HOST                     waits for the end of the host's process
///   start HOST
///   role INSTANCE ROLE           waits until the instance has the role
///
/// Names of requests: key (a client account, or "wrong"), session and tx
/// (names under which tokens and handles are kept), idempotency, timeout,
/// version, and header:NAME. Tokens, times and instances that may differ
/// between runs do not appear in the transcript.
class session_script {
public:
  explicit session_script(deployment &Deployment) : Deployment(Deployment) {}

  /// Throws std::runtime_error when a line is malformed or a wait has no end.
  std::string run(const std::string &Text);

private:
  struct parsed_request {
    exchange_request Request;
    std::string SessionName;
    std::string TransactionName;
  };

  void runLine(const std::string &Line);
  void runRequest(const std::vector<std::string> &Words, std::size_t First,
                  bool IsOperator, int AwaitedStatus);
  parsed_request parse(const std::vector<std::string> &Words, std::size_t First,
                       bool IsOperator);
  void setOption(parsed_request &Parsed, const std::string &Name,
                 const std::string &Value);
  void keepResults(const parsed_request &Parsed, const exchange_answer &Answer);
  void writeAnswer(const exchange_answer &Answer);
  void writeBodyLine(const std::string &Line);
  void runFault(const std::vector<std::string> &Words);
  void runSignal(const std::vector<std::string> &Words);
  void awaitRole(const std::vector<std::string> &Words);

  deployment &Deployment;
  std::string Transcript;
  std::map<std::string, std::string> Sessions;
  std::map<std::string, std::string> Transactions;
};

} // namespace radishrelay::sessions

#endif
