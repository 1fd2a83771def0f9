#include "session_script.h"

#include <Poco/StringTokenizer.h>
#include <Poco/Thread.h>

#include <csignal>
#include <sstream>
#include <stdexcept>

namespace radishrelay::sessions {

namespace {

/// Bounds a wait for a condition that must come; not a timing assertion.
constexpr int MaxAttempts = 120;
constexpr int AttemptIntervalMilliseconds = 50;

/// Splits a line at spaces; a word that starts with '{' or '[' takes the rest.
std::vector<std::string> splitWords(const std::string &Line) {
  std::vector<std::string> Words;
  std::size_t At = 0;
  while ((At = Line.find_first_not_of(' ', At)) != std::string::npos) {
    if (Line[At] == '{' || Line[At] == '[') {
      Words.push_back(Line.substr(At));
      break;
    }
    std::size_t End = std::min(Line.find(' ', At), Line.size());
    Words.push_back(Line.substr(At, End - At));
    At = End;
  }
  return Words;
}

/// Replaces the kept names of the form @NAME@ in a path.
std::string expand(std::string Text,
                   const std::map<std::string, std::string> &Names) {
  for (const auto &[Name, Value] : Names) {
    std::string Mark = "@" + Name + "@";
    std::size_t At = Text.find(Mark);
    if (At != std::string::npos)
      Text.replace(At, Mark.size(), Value);
  }
  return Text;
}

int signalNumber(const std::string &Name) {
  const std::map<std::string, int> Numbers{{"KILL", SIGKILL},
                                           {"STOP", SIGSTOP},
                                           {"CONT", SIGCONT},
                                           {"TERM", SIGTERM}};
  return Numbers.at(Name);
}

std::string header(const exchange_answer &Answer, const std::string &Name) {
  auto Found = Answer.Headers.find(Name);
  return Found == Answer.Headers.end() ? "" : Found->second;
}

} // namespace

std::string session_script::run(const std::string &Text) {
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);) {
    if (!Line.empty()) {
      Transcript += Line + "\n";
      runLine(Line);
    } else {
      Transcript += "\n";
    }
  }
  return Transcript;
}

void session_script::runLine(const std::string &Line) {
  if (Line.front() == '#')
    return;
  std::vector<std::string> Words = splitWords(Line);
  const std::string &Command = Words[0];
  if (Command == "until")
    runRequest(Words, 2, false, std::stoi(Words.at(1)));
  else if (Command == "until-operator")
    runRequest(Words, 2, true, std::stoi(Words.at(1)));
  else if (Command == "operator")
    runRequest(Words, 1, true, 0);
  else if (Command == "fault")
    runFault(Words);
  else if (Command == "platform")
    Deployment.setPlatformFault(Words.at(1));
  else if (Command == "signal")
    runSignal(Words);
  else if (Command == "start")
    Deployment.startHost(Words.at(1));
  else if (Command == "end")
    Transcript += "  exit code " +
                  std::to_string(Deployment.waitHost(Words.at(1))) + "\n";
  else if (Command == "role")
    awaitRole(Words);
  else
    runRequest(Words, 0, false, 0);
}

void session_script::runRequest(const std::vector<std::string> &Words,
                                std::size_t First, bool IsOperator,
                                int AwaitedStatus) {
  parsed_request Parsed = parse(Words, First, IsOperator);
  exchange_answer Answer = exchange(Parsed.Request);
  for (int Attempt = 0; AwaitedStatus != 0 && Answer.Status != AwaitedStatus;
       ++Attempt) {
    if (Attempt == MaxAttempts)
      throw std::runtime_error("status " + std::to_string(AwaitedStatus) +
                               " never came; last answer: " + Answer.Body);
    Poco::Thread::sleep(AttemptIntervalMilliseconds);
    Answer = exchange(Parsed.Request);
  }
  keepResults(Parsed, Answer);
  writeAnswer(Answer);
}

session_script::parsed_request
session_script::parse(const std::vector<std::string> &Words, std::size_t First,
                      bool IsOperator) {
  parsed_request Parsed;
  const std::string &Host = Words.at(First);
  Parsed.Request.Address =
      IsOperator ? Deployment.operators(Host) : Deployment.callers(Host);
  Parsed.Request.Method = Words.at(First + 1);
  Parsed.Request.Path = expand(Words.at(First + 2), Transactions);
  if (IsOperator)
    Parsed.Request.Headers["Authorization"] =
        "Bearer " + Deployment.operatorToken();
  for (std::size_t Index = First + 3; Index < Words.size(); ++Index) {
    const std::string &Word = Words[Index];
    std::size_t Equals = Word.find('=');
    if (Word.front() == '{' || Word.front() == '[')
      Parsed.Request.Body = Word;
    else if (Equals != std::string::npos)
      setOption(Parsed, Word.substr(0, Equals), Word.substr(Equals + 1));
    else
      throw std::runtime_error("malformed word \"" + Word + "\"");
  }
  return Parsed;
}

void session_script::setOption(parsed_request &Parsed, const std::string &Name,
                               const std::string &Value) {
  auto &Headers = Parsed.Request.Headers;
  constexpr std::string_view HeaderPrefix = "header:";
  if (Name == "key") {
    Headers["Authorization"] =
        "Bearer " +
        (Value == "wrong" ? "rr_k-installers_guess" : Deployment.keyOf(Value));
  } else if (Name == "session") {
    Parsed.SessionName = Value;
    if (Sessions.count(Value))
      Headers["Radishrelay-Session"] = Sessions[Value];
  } else if (Name == "tx") {
    Parsed.TransactionName = Value;
    if (Transactions.count(Value))
      Headers["Radishrelay-Transaction"] = Transactions[Value];
  } else if (Name == "idempotency") {
    Headers["Idempotency-Key"] = Value;
  } else if (Name == "timeout") {
    Headers["Radishrelay-Timeout"] = Value;
  } else if (Name == "version") {
    Headers["If-Match"] = "\"" + Value + "\"";
  } else if (Name.starts_with(HeaderPrefix)) {
    Headers[Name.substr(HeaderPrefix.size())] = Value;
  } else {
    throw std::runtime_error("unknown option \"" + Name + "\"");
  }
}

void session_script::keepResults(const parsed_request &Parsed,
                                 const exchange_answer &Answer) {
  std::string Session = header(Answer, "Radishrelay-Session");
  if (!Parsed.SessionName.empty() && !Session.empty())
    Sessions[Parsed.SessionName] = Session;
  base::json Body = base::json::parse(Answer.Body, nullptr, false);
  if (!Parsed.TransactionName.empty() && Body.is_object() &&
      Body.contains("transaction"))
    Transactions[Parsed.TransactionName] = Body["transaction"];
}

void session_script::writeAnswer(const exchange_answer &Answer) {
  Transcript += "  " + std::to_string(Answer.Status);
  if (!header(Answer, "Radishrelay-Session").empty())
    Transcript += " +session";
  if (!header(Answer, "Radishrelay-Repeated").empty())
    Transcript += " +repeated";
  if (header(Answer, "Connection") == "close")
    Transcript += " +close";
  if (!header(Answer, "Retry-After").empty())
    Transcript += " +retry-after";
  if (!header(Answer, "ETag").empty())
    Transcript += " version " + header(Answer, "ETag");
  Transcript += "\n";
  std::istringstream Lines(Answer.Body);
  for (std::string Line; std::getline(Lines, Line);)
    writeBodyLine(Line);
}

void session_script::writeBodyLine(const std::string &Line) {
  base::json Body = base::json::parse(Line, nullptr, false);
  if (!Body.is_object())
    return;
  if (Body.contains("transaction"))
    Body["transaction"] = "HANDLE";
  // These differ between runs: they name ports, instances and times.
  Body.erase("peer");
  Body.erase("time");
  if (Body.value("code", "") == "store_unavailable")
    Body.erase("detail");
  Transcript += "  " + Body.dump() + "\n";
}

void session_script::runFault(const std::vector<std::string> &Words) {
  std::uint64_t Milliseconds = Words.size() > 3 ? std::stoul(Words[3]) : 0;
  Deployment.injectFault(std::stoul(Words.at(1)), Words.at(2), Milliseconds);
}

void session_script::runSignal(const std::vector<std::string> &Words) {
  Deployment.signalHost(Words.at(1), signalNumber(Words.at(2)));
}

void session_script::awaitRole(const std::vector<std::string> &Words) {
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    base::json Report = Deployment.report();
    std::size_t Count = 0;
    for (const base::json &Instance : Report)
      if (Instance["alive"] == true && Instance["status"]["role"] == "primary")
        ++Count;
    const base::json &Wanted = Report.at(std::stoul(Words.at(1)));
    if (Wanted["status"]["role"] == Words.at(2) && Count == 1)
      return;
    Poco::Thread::sleep(AttemptIntervalMilliseconds);
  }
  throw std::runtime_error("instance " + Words.at(1) + " never became " +
                           Words.at(2));
}

} // namespace radishrelay::sessions
