#include "route_answer.h"

#include "radishrelay/base/json.h"

#include <Poco/NumberParser.h>

namespace radishrelay::cli {

namespace {

constexpr int FirstError = 300;

std::string textOf(const base::json &Object, const char *Name) {
  if (!Object.is_object() || !Object.contains(Name) ||
      !Object[Name].is_string())
    return "";
  return Object[Name].get<std::string>();
}

void readRow(const base::json &Body, route_answer &Answer) {
  Answer.Ran = groups::ran_state::Yes;
  if (!Body.is_object() || !Body.contains("rows") || Body["rows"].empty())
    return;
  const base::json &Row = Body["rows"][0];
  Answer.Echo = textOf(Row, "echo");
  Poco::Int64 Found = 0;
  if (Poco::NumberParser::tryParse64(textOf(Row, "found"), Found))
    Answer.Found = Found;
}

} // namespace

void readAnswerBody(const std::string &Body, route_answer &Answer) {
  base::json Parsed = base::json::parse(Body, nullptr, false);
  if (Answer.Status < FirstError)
    return readRow(Parsed, Answer);
  Answer.Code = textOf(Parsed, "code");
  if (Answer.Code.empty())
    Answer.Code = "no_problem_details";
  std::string Ran = textOf(Parsed, "ran");
  if (Ran == "no")
    Answer.Ran = groups::ran_state::No;
  else if (Ran == "yes")
    Answer.Ran = groups::ran_state::Yes;
  else
    Answer.Ran = groups::ran_state::Unknown;
}

} // namespace radishrelay::cli
