#include "radishrelay/cli/operator_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPSClientSession.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <memory>

namespace radishrelay::cli {

namespace {

std::unique_ptr<Poco::Net::HTTPClientSession>
makeSession(const operator_endpoint &Endpoint) {
  Poco::Net::SocketAddress Address(Endpoint.Address);
  if (!Endpoint.Secure)
    return std::make_unique<Poco::Net::HTTPClientSession>(Address);
  constexpr int VerificationDepth = 9;
  Poco::Net::Context::Ptr Context(new Poco::Net::Context(
      Poco::Net::Context::TLS_CLIENT_USE, Endpoint.CertificateAuthority,
      Poco::Net::Context::VERIFY_STRICT, VerificationDepth));
  return std::make_unique<Poco::Net::HTTPSClientSession>(
      Address.host().toString(), Address.port(), Context);
}

std::string withoutQuotes(const std::string &Tag) {
  if (Tag.size() >= 2 && Tag.front() == '"' && Tag.back() == '"')
    return Tag.substr(1, Tag.size() - 2);
  return Tag;
}

} // namespace

base::expected<operator_answer> callOperator(const operator_endpoint &Endpoint,
                                             const operator_call &Call) {
  try {
    auto Session = makeSession(Endpoint);
    Session->setTimeout(Poco::Timespan(Endpoint.TimeoutSeconds, 0));
    Poco::Net::HTTPRequest Request(Call.Method, Call.Path,
                                   Poco::Net::HTTPRequest::HTTP_1_1);
    if (!Endpoint.Token.empty())
      Request.set("Authorization", "Bearer " + Endpoint.Token);
    if (!Call.ExpectedVersion.empty())
      Request.set("If-Match", "\"" + Call.ExpectedVersion + "\"");
    if (!Call.Body.empty())
      Request.setContentType("application/json");
    Request.setContentLength64(static_cast<Poco::Int64>(Call.Body.size()));
    Session->sendRequest(Request) << Call.Body;
    Poco::Net::HTTPResponse Response;
    std::istream &Body = Session->receiveResponse(Response);
    operator_answer Answer;
    Answer.Status = Response.getStatus();
    Answer.Version = withoutQuotes(Response.get("ETag", ""));
    Poco::StreamCopier::copyToString(Body, Answer.Body);
    return Answer;
  } catch (const Poco::Exception &Error) {
    return base::failure{std::make_error_code(std::errc::io_error),
                         "call operators' API", Endpoint.Address,
                         Error.displayText()};
  }
}

} // namespace radishrelay::cli
