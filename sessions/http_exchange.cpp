#include "http_exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

namespace radishrelay::sessions {

namespace {

constexpr int TimeoutSeconds = 30;

} // namespace

exchange_answer exchange(const exchange_request &Request) {
  exchange_answer Answer;
  try {
    Poco::Net::HTTPClientSession Session(
        Poco::Net::SocketAddress(Request.Address));
    Session.setTimeout(Poco::Timespan(TimeoutSeconds, 0));
    // So that "Connection: close" in an answer is the host's own wish.
    Session.setKeepAlive(true);
    Poco::Net::HTTPRequest Message(Request.Method, Request.Path,
                                   Poco::Net::HTTPRequest::HTTP_1_1);
    for (const auto &[Name, Value] : Request.Headers)
      Message.set(Name, Value);
    Message.setContentLength(static_cast<std::streamsize>(Request.Body.size()));
    Session.sendRequest(Message) << Request.Body;
    Poco::Net::HTTPResponse Response;
    std::istream &Body = Session.receiveResponse(Response);
    Poco::StreamCopier::copyToString(Body, Answer.Body);
    Answer.Status = Response.getStatus();
    for (const auto &[Name, Value] : Response)
      Answer.Headers[Name] = Value;
  } catch (const Poco::Exception &) {
    Answer.Status = 0;
  }
  return Answer;
}

} // namespace radishrelay::sessions
