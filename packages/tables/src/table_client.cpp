#include "radishrelay/tables/table_client.h"

#include "radishrelay/tables/http_connection.h"
#include "table_codec.h"

namespace radishrelay::tables {

namespace {

using base::json;

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int MinClientErrorStatus = 400;
constexpr int MinServerErrorStatus = 500;

base::failure protocolFailure(const http_request &Request,
                              const std::string &Peer,
                              const std::string &Detail) {
  return {std::make_error_code(std::errc::protocol_error), Request.Step, Peer,
          Detail};
}

base::failure statusFailure(const http_request &Request,
                            const std::string &Peer, int Status) {
  return protocolFailure(Request, Peer, "status " + std::to_string(Status));
}

struct request_builder {
  http_request operator()(const base::read_row &Read) const {
    return {"GET",
            "/tables/" + detail::encodeSegment(Read.Key.Table) + "/" +
                detail::encodeSegment(Read.Key.Key),
            "", "read table row"};
  }
  http_request operator()(const base::read_table &Read) const {
    return {"GET", "/tables/" + detail::encodeSegment(Read.Table), "",
            "read table"};
  }
  http_request operator()(const base::store_transaction &Transaction) const {
    return {"POST", "/transactions",
            detail::formatTransaction(Transaction).dump(),
            "run store transaction"};
  }
};

/// Fills the answer from the body of a response with status 200.
struct response_parser {
  const json &Body;
  base::store_answer &Answer;

  void operator()(const base::read_row &Read) const {
    Answer.Rows = {{Read.Key, Body.at("version").get<base::row_version>(),
                    Body.at("value")}};
  }
  void operator()(const base::read_table &) const {
    Answer.Rows = detail::parseRows(Body);
  }
  void operator()(const base::store_transaction &) const {
    Answer.Version = Body.at("version").get<base::row_version>();
  }
};

void parseResponse(const base::store_request &Request,
                   const http_response &Response, base::store_answer &Answer) {
  const auto *Row = std::get_if<base::read_row>(&Request);
  if (Row && Response.Status == StatusNotFound) {
    Answer.Outcome = base::store_outcome::Done;
    Answer.Rows = {{Row->Key, 0, nullptr}};
    return;
  }
  json Body = json::parse(Response.Body);
  if (Response.Status == StatusConflict) {
    Answer.Rows = detail::parseRows(Body);
    Answer.Outcome = base::store_outcome::Conflict;
    return;
  }
  std::visit(response_parser{Body, Answer}, Request);
  Answer.Outcome = base::store_outcome::Done;
}

bool isExpectedStatus(const base::store_request &Request, int Status) {
  if (Status == StatusOk)
    return true;
  if (std::holds_alternative<base::read_row>(Request))
    return Status == StatusNotFound;
  return Status == StatusConflict &&
         std::holds_alternative<base::store_transaction>(Request);
}

bool isRejection(int Status) {
  return Status >= MinClientErrorStatus && Status < MinServerErrorStatus;
}

} // namespace

table_client::table_client(std::string Address)
    : Connection(std::make_unique<http_connection>(std::move(Address))) {}

table_client::~table_client() = default;
table_client::table_client(table_client &&) noexcept = default;
table_client &table_client::operator=(table_client &&) noexcept = default;

base::store_answer table_client::execute(const base::store_request &Request,
                                         base::time_point Deadline) {
  base::store_answer Answer;
  Answer.SentAt = base::monotonic_clock::now();
  http_request HttpRequest = std::visit(request_builder(), Request);
  auto Response = Connection->exchange(HttpRequest, Deadline);
  if (!Response) {
    Answer.Outcome = Response.error().Sent ? base::store_outcome::Unknown
                                           : base::store_outcome::NotDone;
    Answer.Failure = Response.error().Cause;
    return Answer;
  }
  if (!isExpectedStatus(Request, Response->Status)) {
    Answer.Outcome = isRejection(Response->Status)
                         ? base::store_outcome::NotDone
                         : base::store_outcome::Unknown;
    Answer.Failure =
        statusFailure(HttpRequest, Connection->address(), Response->Status);
    return Answer;
  }
  try {
    parseResponse(Request, *Response, Answer);
  } catch (const json::exception &Error) {
    Answer.Outcome = base::store_outcome::Unknown;
    Answer.Rows.clear();
    Answer.Failure =
        protocolFailure(HttpRequest, Connection->address(), Error.what());
  }
  return Answer;
}

base::expected<std::vector<base::listed_host>>
table_client::readHosts(base::time_point Deadline) {
  http_request HttpRequest{"GET", "/hosts", "", "read host list"};
  auto Response = Connection->exchange(HttpRequest, Deadline);
  if (!Response)
    return Response.error().Cause;
  if (Response->Status != StatusOk)
    return statusFailure(HttpRequest, Connection->address(), Response->Status);
  try {
    return detail::parseHosts(json::parse(Response->Body));
  } catch (const json::exception &Error) {
    return protocolFailure(HttpRequest, Connection->address(), Error.what());
  }
}

base::expected<std::optional<std::string>>
table_client::getObject(const std::string &Name, base::time_point Deadline) {
  http_request HttpRequest{"GET", "/objects/" + detail::encodeSegment(Name), "",
                           "get object"};
  auto Response = Connection->exchange(HttpRequest, Deadline);
  if (!Response)
    return Response.error().Cause;
  if (Response->Status == StatusNotFound)
    return std::optional<std::string>();
  if (Response->Status != StatusOk)
    return statusFailure(HttpRequest, Connection->address(), Response->Status);
  return std::optional<std::string>(std::move(Response->Body));
}

base::failure table_client::putObject(const std::string &Name,
                                      const std::string &Content,
                                      base::time_point Deadline) {
  http_request HttpRequest{"PUT", "/objects/" + detail::encodeSegment(Name),
                           Content, "put object"};
  auto Response = Connection->exchange(HttpRequest, Deadline);
  if (!Response)
    return Response.error().Cause;
  if (Response->Status != StatusOk)
    return statusFailure(HttpRequest, Connection->address(), Response->Status);
  return {};
}

} // namespace radishrelay::tables
