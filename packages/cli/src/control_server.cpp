#include "control_server.h"

#include "database_faults.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>

namespace radishrelay::cli {

namespace {

using http_status = Poco::Net::HTTPResponse::HTTPStatus;

void sendText(Poco::Net::HTTPServerResponse &Response, http_status Status,
              const std::string &Text) {
  Response.setStatus(Status);
  Response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(Status));
  Response.setContentType("application/json");
  Response.setContentLength64(static_cast<Poco::Int64>(Text.size()));
  Response.send() << Text;
}

class control_handler final : public Poco::Net::HTTPRequestHandler {
public:
  explicit control_handler(backend::stand_in_group &Group) : Group(Group) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    bool IsFault =
        Request.getMethod() == "POST" && Request.getURI() == "/stand-in/faults";
    bool IsReport =
        Request.getMethod() == "GET" && Request.getURI() == "/stand-in/report";
    bool IsRecorded = Request.getMethod() == "GET" &&
                      Request.getURI() == "/stand-in/recorded";
    if (IsRecorded)
      sendText(Response, http_status::HTTP_OK, recordedBytes());
    else if (IsFault)
      handleFault(Request, Response);
    else if (IsReport)
      sendText(Response, http_status::HTTP_OK, reportJson(Group).dump() + "\n");
    else
      sendText(Response, http_status::HTTP_NOT_FOUND, "{}\n");
  }

private:
  [[nodiscard]] std::string recordedBytes() const {
    std::string Bytes;
    for (std::size_t Index = 0; Index < Group.size(); ++Index)
      Bytes += Group.recordedBytes(Index);
    return Bytes;
  }

  void handleFault(Poco::Net::HTTPServerRequest &Request,
                   Poco::Net::HTTPServerResponse &Response) {
    std::string Body;
    Poco::StreamCopier::copyToString(Request.stream(), Body);
    base::failure Failure =
        injectFault(Group, base::json::parse(Body, nullptr, false));
    if (!Failure) {
      sendText(Response, http_status::HTTP_OK, "{}\n");
      return;
    }
    base::json Refusal = base::json::object();
    Refusal["detail"] = Failure.Detail;
    sendText(Response, http_status::HTTP_BAD_REQUEST, Refusal.dump() + "\n");
  }

  backend::stand_in_group &Group;
};

class control_handler_factory final
    : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit control_handler_factory(backend::stand_in_group &Group)
      : Group(Group) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new control_handler(Group);
  }

private:
  backend::stand_in_group &Group;
};

} // namespace

struct control_server::implementation {
  implementation(backend::stand_in_group &Group, std::uint16_t Port)
      : Socket(Poco::Net::SocketAddress("127.0.0.1", Port)),
        Server(new control_handler_factory(Group), Threads, Socket,
               new Poco::Net::HTTPServerParams) {
    Server.start();
  }
  ~implementation() { Server.stopAll(true); }

  Poco::ThreadPool Threads;
  Poco::Net::ServerSocket Socket;
  Poco::Net::HTTPServer Server;
};

control_server::control_server(backend::stand_in_group &Group,
                               std::uint16_t Port)
    : Implementation(std::make_unique<implementation>(Group, Port)) {}

control_server::~control_server() = default;

std::uint16_t control_server::port() const {
  return Implementation->Socket.address().port();
}

} // namespace radishrelay::cli
