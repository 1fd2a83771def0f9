#include "rpc_call.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

#include <json/json.h>
#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/errors.h>

#include <map>
#include <memory>
#include <sstream>

namespace radishrelay {
namespace daemon {
namespace detail {

namespace {

constexpr int MicrosecondsPerMillisecond = 1000;

/// Sends JSON-RPC messages over a persistent POCO HTTP session.
class session_connector : public jsonrpc::IClientConnector {
public:
  session_connector(Poco::Net::HTTPClientSession &Session,
                    rpc_authentication_function ComputeCode,
                    const void *Context)
      : Session(Session), ComputeCode(ComputeCode), Context(Context) {}

  void SendRPCMessage(const std::string &Message, std::string &Result) throw(
      jsonrpc::JsonRpcException) override {
    try {
      Poco::Net::HTTPRequest Request("POST", "/",
                                     Poco::Net::HTTPRequest::HTTP_1_1);
      Request.setContentLength(static_cast<std::streamsize>(Message.size()));
      Request.setContentType("application/json");
      Request.set("Radishrelay-Seal", ComputeCode(Context, Message));
      Session.sendRequest(Request) << Message;
      Poco::Net::HTTPResponse Response;
      std::istream &Body = Session.receiveResponse(Response);
      Poco::StreamCopier::copyToString(Body, Result);
      if (Response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
        throw jsonrpc::JsonRpcException(
            jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
            "HTTP status " + std::to_string(Response.getStatus()));
    } catch (const Poco::Exception &Error) {
      Session.reset();
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      Error.displayText());
    }
  }

private:
  Poco::Net::HTTPClientSession &Session;
  rpc_authentication_function ComputeCode;
  const void *Context;
};

/// Returns the calling thread's session to \p Address, which it creates on
/// first use.
Poco::Net::HTTPClientSession &sessionFor(const std::string &Address) {
  thread_local std::map<std::string,
                        std::unique_ptr<Poco::Net::HTTPClientSession>>
      Sessions;
  std::unique_ptr<Poco::Net::HTTPClientSession> &Session = Sessions[Address];
  if (!Session) {
    Session.reset(
        new Poco::Net::HTTPClientSession(Poco::Net::SocketAddress(Address)));
    Session->setKeepAlive(true);
  }
  return *Session;
}

} // namespace

rpc_call_result
callProcedure(const std::string &Address, const std::string &Method,
              const std::string &ParametersText, long TimeoutMilliseconds,
              rpc_authentication_function ComputeCode, const void *Context) {
  rpc_call_result Result;
  try {
    Json::Value Parameters;
    std::istringstream(ParametersText) >> Parameters;
    Poco::Net::HTTPClientSession &Session = sessionFor(Address);
    Poco::Timespan Timeout(TimeoutMilliseconds * MicrosecondsPerMillisecond);
    Session.setTimeout(Timeout, Timeout, Timeout);
    session_connector Connector(Session, ComputeCode, Context);
    jsonrpc::Client Client(Connector);
    Json::Value Answer = Client.CallMethod(Method, Parameters);
    Json::StreamWriterBuilder Builder;
    Builder["indentation"] = "";
    Result.Result = Json::writeString(Builder, Answer);
    Result.Succeeded = true;
  } catch (const std::exception &Error) {
    Result.Error = Error.what();
  }
  return Result;
}

} // namespace detail
} // namespace daemon
} // namespace radishrelay
