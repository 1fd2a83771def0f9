#include "stand_in_handler.h"

#include "table_codec.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/StringTokenizer.h>
#include <Poco/URI.h>

#include <utility>

namespace radishrelay::tables::detail {

namespace {

using base::json;
using Poco::Net::HTTPResponse;

constexpr std::pair<const char *, stand_in_fault_mode> FaultModes[] = {
    {"none", stand_in_fault_mode::None},
    {"down", stand_in_fault_mode::Down},
    {"slow", stand_in_fault_mode::Slow},
    {"lose_answers", stand_in_fault_mode::LoseAnswers},
    {"pause", stand_in_fault_mode::Pause},
};

std::vector<std::string> splitPath(const std::string &Target) {
  Poco::StringTokenizer Raw(Target.substr(0, Target.find('?')), "/",
                            Poco::StringTokenizer::TOK_IGNORE_EMPTY);
  std::vector<std::string> Segments;
  for (const std::string &Part : Raw)
    Poco::URI::decode(Part, Segments.emplace_back());
  return Segments;
}

std::optional<stand_in_fault> parseFault(const json &Document) {
  std::string Mode = Document.at("mode").get<std::string>();
  for (const auto &[Name, Value] : FaultModes)
    if (Mode == Name)
      return stand_in_fault{
          Value, std::chrono::milliseconds(Document.value("delay_ms", 0))};
  return std::nullopt;
}

/// Returns true for requests that control the stand-in; injected faults do not
/// affect them.
bool isControlRequest(const std::string &Method,
                      const std::vector<std::string> &Path) {
  if (Path.empty())
    return true;
  return Path[0] == "stand-in" || (Path[0] == "hosts" && Method == "POST");
}

void closeWithoutResponse(Poco::Net::HTTPServerRequest &Request,
                          Poco::Net::HTTPServerResponse &Response) {
  Response.setKeepAlive(false);
  static_cast<Poco::Net::HTTPServerRequestImpl &>(Request).socket().shutdown();
}

} // namespace

stand_in_handler::reply
stand_in_handler::handleTableRead(const path_segments &Path) {
  if (Path.size() == 2)
    return {HTTPResponse::HTTP_OK, formatRows(State.readTable(Path[1])).dump()};
  base::table_row Row = State.readRow({Path[1], Path[2]});
  if (Row.Version == 0)
    return {HTTPResponse::HTTP_NOT_FOUND, "{}"};
  json Body = {{"version", Row.Version}, {"value", Row.Value}};
  return {HTTPResponse::HTTP_OK, Body.dump()};
}

stand_in_handler::reply
stand_in_handler::handleTransaction(const std::string &Body) {
  base::store_answer Answer =
      State.execute(parseTransaction(json::parse(Body)));
  if (Answer.Outcome == base::store_outcome::Conflict)
    return {HTTPResponse::HTTP_CONFLICT, formatRows(Answer.Rows).dump()};
  return {HTTPResponse::HTTP_OK, json{{"version", Answer.Version}}.dump()};
}

stand_in_handler::reply
stand_in_handler::handleObject(const std::string &Method,
                               const std::string &Name,
                               const std::string &Body) {
  if (Method == "PUT") {
    State.putObject(Name, Body);
    return {HTTPResponse::HTTP_OK, "{}"};
  }
  std::optional<std::string> Content = State.getObject(Name);
  if (!Content)
    return {HTTPResponse::HTTP_NOT_FOUND, ""};
  return {HTTPResponse::HTTP_OK, std::move(*Content)};
}

stand_in_handler::reply
stand_in_handler::handleApiRequest(const std::string &Method,
                                   const path_segments &Path,
                                   const std::string &Body) {
  const std::string &First = Path[0];
  if (First == "tables" && Method == "GET" &&
      (Path.size() == 2 || Path.size() == 3))
    return handleTableRead(Path);
  if (First == "transactions" && Method == "POST" && Path.size() == 1)
    return handleTransaction(Body);
  if (First == "objects" && Path.size() == 2 &&
      (Method == "GET" || Method == "PUT"))
    return handleObject(Method, Path[1], Body);
  if (First == "hosts" && Method == "GET" && Path.size() == 1)
    return {HTTPResponse::HTTP_OK, formatHosts(State.hosts()).dump()};
  return {HTTPResponse::HTTP_NOT_FOUND, "{}"};
}

stand_in_handler::reply
stand_in_handler::handleControlRequest(const std::string &Method,
                                       const path_segments &Path,
                                       const std::string &Body) {
  if (Path.size() == 1 && Path[0] == "hosts") {
    State.setHosts(parseHosts(json::parse(Body)));
    return {HTTPResponse::HTTP_OK, "{}"};
  }
  bool HasTwoSegments = Path.size() == 2;
  if (HasTwoSegments && Path[1] == "faults" && Method == "POST") {
    auto Fault = parseFault(json::parse(Body));
    if (!Fault)
      return {HTTPResponse::HTTP_BAD_REQUEST, "{}"};
    State.setFault(*Fault);
    return {HTTPResponse::HTTP_OK, "{}"};
  }
  if (HasTwoSegments && Path[1] == "counters" && Method == "GET") {
    stand_in_counters Counters = State.counters();
    json Document = {{"reads", Counters.Reads},
                     {"writes", Counters.Writes},
                     {"conflicts", Counters.Conflicts}};
    return {HTTPResponse::HTTP_OK, Document.dump()};
  }
  return {HTTPResponse::HTTP_NOT_FOUND, "{}"};
}

void stand_in_handler::handleRequest(Poco::Net::HTTPServerRequest &Request,
                                     Poco::Net::HTTPServerResponse &Response) {
  std::string Body;
  Poco::StreamCopier::copyToString(Request.stream(), Body);
  path_segments Path = splitPath(Request.getURI());
  bool Control = isControlRequest(Request.getMethod(), Path);
  if (!Control && !State.admit())
    return closeWithoutResponse(Request, Response);
  reply Reply;
  try {
    Reply = Control ? handleControlRequest(Request.getMethod(), Path, Body)
                    : handleApiRequest(Request.getMethod(), Path, Body);
  } catch (const json::exception &Error) {
    Reply = {HTTPResponse::HTTP_BAD_REQUEST,
             json{{"detail", Error.what()}}.dump()};
  }
  if (!Control && State.losesAnswers())
    return closeWithoutResponse(Request, Response);
  Response.setStatusAndReason(Reply.Status);
  Response.setContentType("application/json");
  Response.sendBuffer(Reply.Body.data(), Reply.Body.size());
}

} // namespace radishrelay::tables::detail
