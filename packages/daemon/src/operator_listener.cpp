#include "radishrelay/daemon/operator_listener.h"

#include "radishrelay/base/digest.h"
#include "radishrelay/base/json.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <array>
#include <string_view>

namespace radishrelay::daemon {

namespace {

constexpr int MaxServerThreads = 8;
constexpr int MaxQueuedConnections = 64;
constexpr Poco::Int64 MaxPatchBytes = 1'048'576;

struct endpoint {
  std::string_view Method;
  std::string_view Path;
  operator_action Action;
  bool NeedsToken;
};

constexpr std::array Endpoints{
    endpoint{"GET", "/v1/configuration", operator_action::ReadConfiguration,
             true},
    endpoint{"PATCH", "/v1/configuration", operator_action::PatchConfiguration,
             true},
    endpoint{"GET", "/v1/configuration/history", operator_action::ReadHistory,
             true},
    endpoint{"POST", "/v1/drain", operator_action::Drain, true},
    endpoint{"GET", "/v1/state", operator_action::DumpState, true},
    endpoint{"GET", "/v1/audit", operator_action::ReadAudit, true},
    endpoint{"GET", "/metrics", operator_action::ReadMetrics, false},
    endpoint{"GET", "/health/live", operator_action::CheckLive, false},
    endpoint{"GET", "/health/ready", operator_action::CheckReady, false},
};

const endpoint *findEndpoint(const std::string &Method,
                             const std::string &Path) {
  for (const endpoint &Endpoint : Endpoints)
    if (Endpoint.Method == Method && Endpoint.Path == Path)
      return &Endpoint;
  return nullptr;
}

bool isKnownPath(const std::string &Path) {
  for (const endpoint &Endpoint : Endpoints)
    if (Endpoint.Path == Path)
      return true;
  return false;
}

operator_reply refusal(int Status, std::string_view Code,
                       std::string_view Detail) {
  base::json Body = base::json::object();
  Body["type"] = "urn:radishrelay:problem:" + std::string(Code);
  Body["status"] = Status;
  Body["code"] = Code;
  Body["detail"] = Detail;
  Body["ran"] = "no";
  return {Status, "application/problem+json", "", Body.dump()};
}

std::string withoutQuotes(const std::string &Tag) {
  if (Tag.size() >= 2 && Tag.front() == '"' && Tag.back() == '"')
    return Tag.substr(1, Tag.size() - 2);
  return Tag;
}

/// Checks a request against the endpoint table and the tokens, and passes it to
/// the handler.
class operator_service {
public:
  operator_service(std::map<std::string, std::string> TokenDigests,
                   operator_handler Handler)
      : TokenDigests(std::move(TokenDigests)), Handler(std::move(Handler)) {}

  operator_reply serve(Poco::Net::HTTPServerRequest &Request) const {
    Poco::URI Target(Request.getURI());
    const endpoint *Endpoint =
        findEndpoint(Request.getMethod(), Target.getPath());
    if (!Endpoint && isKnownPath(Target.getPath()))
      return refusal(405, "method_not_allowed", "see docs/operators.md");
    if (!Endpoint)
      return refusal(404, "path_unknown", "see docs/operators.md");
    operator_request OperatorRequest;
    OperatorRequest.Action = Endpoint->Action;
    OperatorRequest.Operator = operatorOf(Request.get("Authorization", ""));
    if (Endpoint->NeedsToken && OperatorRequest.Operator.empty())
      return refusal(401, "token_invalid", "an operator's token is required");
    if (Request.getContentLength64() > MaxPatchBytes)
      return refusal(413, "body_too_large", "at most 1048576 bytes");
    OperatorRequest.ExpectedVersion =
        withoutQuotes(Request.get("If-Match", ""));
    OperatorRequest.Query = Target.getRawQuery();
    Poco::StreamCopier::copyToString(Request.stream(), OperatorRequest.Body);
    std::optional<operator_reply> Reply = Handler(OperatorRequest);
    return Reply ? *Reply : refusal(503, "overloaded", "the host is too busy");
  }

private:
  /// Returns the operator's name, or an empty string if the token is wrong.
  /// Compares all digests, so that the duration does not reveal which matched.
  [[nodiscard]] std::string operatorOf(const std::string &Header) const {
    constexpr std::string_view Scheme = "Bearer ";
    if (!Header.starts_with(Scheme))
      return {};
    std::string Digest =
        base::encodeHex(base::sha256(Header.substr(Scheme.size())));
    std::string Name;
    for (const auto &[Operator, Expected] : TokenDigests)
      if (base::constantTimeEqual(Digest, Expected))
        Name = Operator;
    return Name;
  }

  std::map<std::string, std::string> TokenDigests;
  operator_handler Handler;
};

class operator_http_handler final : public Poco::Net::HTTPRequestHandler {
public:
  explicit operator_http_handler(const operator_service &Service)
      : Service(Service) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    operator_reply Reply = Service.serve(Request);
    Response.setStatus(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Reply.Status));
    Response.setReason(
        Poco::Net::HTTPResponse::getReasonForStatus(Response.getStatus()));
    Response.setContentType(Reply.ContentType);
    Response.setContentLength64(static_cast<Poco::Int64>(Reply.Body.size()));
    if (!Reply.Version.empty())
      Response.set("ETag", "\"" + Reply.Version + "\"");
    Response.send() << Reply.Body;
  }

private:
  const operator_service &Service;
};

class operator_handler_factory final
    : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit operator_handler_factory(const operator_service &Service)
      : Service(Service) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new operator_http_handler(Service);
  }

private:
  const operator_service &Service;
};

Poco::Net::HTTPServerParams::Ptr serverParameters() {
  Poco::Net::HTTPServerParams::Ptr Parameters(new Poco::Net::HTTPServerParams);
  Parameters->setMaxThreads(MaxServerThreads);
  Parameters->setMaxQueued(MaxQueuedConnections);
  return Parameters;
}

} // namespace

struct operator_listener::implementation {
  implementation(const Poco::Net::ServerSocket &Socket,
                 std::map<std::string, std::string> TokenDigests,
                 operator_handler Handler)
      : Service(std::move(TokenDigests), std::move(Handler)),
        Threads(2, MaxServerThreads),
        Server(new operator_handler_factory(Service), Threads, Socket,
               serverParameters()) {
    Server.start();
  }

  operator_service Service;
  Poco::ThreadPool Threads;
  Poco::Net::HTTPServer Server;
};

operator_listener::operator_listener(
    const Poco::Net::ServerSocket &Socket,
    std::map<std::string, std::string> TokenDigests, operator_handler Handler)
    : Implementation(std::make_unique<implementation>(
          Socket, std::move(TokenDigests), std::move(Handler))) {}

operator_listener::~operator_listener() { stop(); }

void operator_listener::stop() { Implementation->Server.stopAll(true); }

std::uint16_t operator_listener::port() const {
  return Implementation->Server.port();
}

} // namespace radishrelay::daemon
