#include "http_route_client.h"

#include "radishrelay/base/json.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

namespace radishrelay::cli {

namespace {

/// Longer than the daemon's own deadline, so that its answer is seen.
constexpr std::int64_t TimeoutMarginMilliseconds = 1000;
constexpr int KeepAliveSeconds = 3600;

const char *suffixOf(request_kind Kind) {
  switch (Kind) {
  case request_kind::Read:
    return "-read";
  case request_kind::StrictRead:
    return "-current";
  case request_kind::Write:
  case request_kind::KeyedWrite:
    return "-write";
  }
  return "";
}

std::string bodyOf(const route_call &Call) {
  base::json Parameters = base::json::object();
  Parameters[isRead(Call.Kind) ? "echo" : "id"] = Call.Id;
  Parameters[isRead(Call.Kind) ? "id" : "session"] = Call.Subject;
  base::json Body = base::json::object();
  Body["parameters"] = std::move(Parameters);
  return Body.dump();
}

} // namespace

http_route_client::http_route_client(const http_route_options &Options)
    : Options(Options) {
  for (const std::string &Target : Options.Targets) {
    auto Session = std::make_unique<Poco::Net::HTTPClientSession>(
        Poco::Net::SocketAddress(Target));
    std::int64_t Timeout =
        Options.TimeoutMilliseconds + TimeoutMarginMilliseconds;
    Session->setTimeout(Poco::Timespan(Timeout * Poco::Timespan::MILLISECONDS));
    Session->setKeepAlive(true);
    Session->setKeepAliveTimeout(Poco::Timespan(KeepAliveSeconds, 0));
    Sessions.push_back(std::move(Session));
  }
}

std::string
http_route_client::sendRequest(Poco::Net::HTTPClientSession &Session,
                               const route_call &Call,
                               route_answer &Answer) const {
  Poco::Net::HTTPRequest Request(
      "POST", "/v1/routes/" + Options.Groups[Call.Group] + suffixOf(Call.Kind),
      Poco::Net::HTTPRequest::HTTP_1_1);
  Request.setKeepAlive(true);
  Request.set("Authorization", "Bearer " + Call.Key);
  Request.set("Radishrelay-Timeout",
              std::to_string(Options.TimeoutMilliseconds));
  if (!Call.Token.empty())
    Request.set("Radishrelay-Session", Call.Token);
  if (Call.Kind == request_kind::KeyedWrite)
    Request.set("Idempotency-Key", Call.Id);
  std::string Body = bodyOf(Call);
  Request.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  Session.sendRequest(Request) << Body;
  Poco::Net::HTTPResponse Response;
  std::istream &Input = Session.receiveResponse(Response);
  std::string Text;
  Poco::StreamCopier::copyToString(Input, Text);
  Answer.Status = Response.getStatus();
  Answer.ServedBy = Response.get("Radishrelay-Served-By", "");
  Answer.Token = Response.get("Radishrelay-Session", "");
  return Text;
}

route_answer http_route_client::call(const route_call &Call) {
  Poco::Net::HTTPClientSession &Session = *Sessions[Call.Host];
  route_answer Answer;
  try {
    // Between requests only the end of the connection makes it readable. With
    // a new one nothing of the request can be lost.
    if (Session.connected() &&
        Session.socket().poll(Poco::Timespan(), Poco::Net::Socket::SELECT_READ))
      Session.reset();
    readAnswerBody(sendRequest(Session, Call, Answer), Answer);
    return Answer;
  } catch (const Poco::Net::ConnectionRefusedException &) {
    Answer.Code = ConnectionRefused;
    Answer.Ran = groups::ran_state::No;
  } catch (const Poco::TimeoutException &) {
    Answer.Code = "no_answer";
  } catch (const Poco::Exception &) {
    Answer.Code = "connection_lost";
  }
  Answer.Status = 0;
  // A late answer on this connection would belong to the request before.
  Session.reset();
  return Answer;
}

} // namespace radishrelay::cli
