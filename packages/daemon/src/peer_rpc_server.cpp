#include "radishrelay/daemon/peer_rpc_server.h"

#include "json_conversion.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

namespace radishrelay::daemon {

namespace {

constexpr int MaxServerThreads = 16;
constexpr int MaxQueuedConnections = 256;
constexpr int ExecutionFailedCode = -32000;

/// Connects libjsonrpccpp to an external HTTP server: OnRequest() executes a
/// request body and writes the answer to the string that it is given.
class rpc_connector final : public jsonrpc::AbstractServerConnector {
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }

  bool SendResponse(const std::string &Text, void *Target) override {
    *static_cast<std::string *>(Target) = Text;
    return true;
  }
};

/// Registers the procedures of peer_method with libjsonrpccpp.
class rpc_procedures final : public jsonrpc::AbstractServer<rpc_procedures> {
public:
  rpc_procedures(rpc_connector &Connector, peer_call_handler Handler)
      : AbstractServer(Connector), Handler(std::move(Handler)) {
    bind(peer_method::ConfigurationSince,
         &rpc_procedures::call<peer_method::ConfigurationSince>);
    bind(peer_method::ConfigurationStore,
         &rpc_procedures::call<peer_method::ConfigurationStore>);
    bind(peer_method::Forward, &rpc_procedures::call<peer_method::Forward>);
  }

private:
  using member = void (rpc_procedures::*)(const Json::Value &, Json::Value &);

  void bind(peer_method Method, member Member) {
    std::string Name(methodName(Method));
    bindAndAddMethod(jsonrpc::Procedure(Name, jsonrpc::PARAMS_BY_NAME,
                                        jsonrpc::JSON_OBJECT, nullptr),
                     Member);
  }

  template <peer_method Method>
  void call(const Json::Value &Parameters, Json::Value &Result) {
    std::optional<base::json> Answer =
        Handler(Method, detail::fromJsonCpp(Parameters));
    if (!Answer)
      throw jsonrpc::JsonRpcException(ExecutionFailedCode,
                                      "the host could not execute the call");
    Result = detail::toJsonCpp(*Answer);
  }

  peer_call_handler Handler;
};

class rpc_request_handler final : public Poco::Net::HTTPRequestHandler {
public:
  rpc_request_handler(rpc_connector &Connector,
                      const peer_authenticator &Authenticator)
      : Connector(Connector), Authenticator(Authenticator) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    std::string Body;
    Poco::StreamCopier::copyToString(Request.stream(), Body);
    if (!Authenticator.matches(Body, Request.get("Radishrelay-Seal", ""))) {
      Response.setStatus(Poco::Net::HTTPResponse::HTTP_FORBIDDEN);
      Response.setContentLength(0);
      Response.send();
      return;
    }
    std::string Text;
    Connector.OnRequest(Body, &Text);
    Response.setContentType("application/json");
    Response.setContentLength64(static_cast<Poco::Int64>(Text.size()));
    Response.send() << Text;
  }

private:
  rpc_connector &Connector;
  const peer_authenticator &Authenticator;
};

class rpc_handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  rpc_handler_factory(rpc_connector &Connector,
                      const peer_authenticator &Authenticator)
      : Connector(Connector), Authenticator(Authenticator) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new rpc_request_handler(Connector, Authenticator);
  }

private:
  rpc_connector &Connector;
  const peer_authenticator &Authenticator;
};

Poco::Net::HTTPServerParams::Ptr serverParameters() {
  Poco::Net::HTTPServerParams::Ptr Parameters(new Poco::Net::HTTPServerParams);
  Parameters->setMaxThreads(MaxServerThreads);
  Parameters->setMaxQueued(MaxQueuedConnections);
  return Parameters;
}

} // namespace

struct peer_rpc_server::implementation {
  implementation(const std::string &Address,
                 peer_authenticator NewAuthenticator, peer_call_handler Handler)
      : Authenticator(std::move(NewAuthenticator)),
        Procedures(Connector, std::move(Handler)), Threads(2, MaxServerThreads),
        Socket(Poco::Net::SocketAddress(Address)),
        Server(new rpc_handler_factory(Connector, Authenticator), Threads,
               Socket, serverParameters()) {
    Server.start();
  }

  peer_authenticator Authenticator;
  rpc_connector Connector;
  rpc_procedures Procedures;
  Poco::ThreadPool Threads;
  Poco::Net::ServerSocket Socket;
  Poco::Net::HTTPServer Server;
};

peer_rpc_server::peer_rpc_server(const std::string &Address,
                                 peer_authenticator Authenticator,
                                 peer_call_handler Handler)
    : Implementation(std::make_unique<implementation>(
          Address, std::move(Authenticator), std::move(Handler))) {}

peer_rpc_server::~peer_rpc_server() { stop(); }

void peer_rpc_server::stop() { Implementation->Server.stopAll(true); }

std::uint16_t peer_rpc_server::port() const {
  return Implementation->Server.port();
}

} // namespace radishrelay::daemon
