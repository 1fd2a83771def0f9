#include "radishrelay/daemon/http_message.h"

#include <Poco/String.h>

namespace radishrelay::daemon {

std::string http_request::header(const std::string &Name) const {
  for (const http_header &Header : Headers)
    if (Poco::icompare(Header.Name, Name) == 0)
      return Header.Value;
  return {};
}

http_answer problemAnswer(caller_connection_id Connection,
                          const problem &Problem) {
  http_answer Answer;
  Answer.Connection = Connection;
  Answer.Status = httpStatus(Problem.Code);
  Answer.ContentType = "application/problem+json";
  if (Problem.RetryAfterSeconds > 0)
    Answer.Headers.push_back(
        {"Retry-After", std::to_string(Problem.RetryAfterSeconds)});
  Answer.Body = toJson(Problem).dump(-1, ' ', false,
                                     base::json::error_handler_t::replace);
  return Answer;
}

} // namespace radishrelay::daemon
