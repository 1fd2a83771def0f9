#include "radishrelay/tables/stand_in_platform.h"

#include "stand_in_handler.h"
#include "stand_in_state.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

namespace radishrelay::tables {

namespace detail {

namespace {

// Each connection occupies one thread. A fleet of 21 hosts keeps one connection
// open per host; operators and tests open a few more.
constexpr int MaxConnections = 64;
constexpr int Backlog = 64;
constexpr int KeepAliveSeconds = 120;
constexpr int MaxRequestsPerConnection = 0; // unlimited

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit handler_factory(stand_in_state &State) : State(State) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new stand_in_handler(State);
  }

private:
  stand_in_state &State;
};

Poco::Net::HTTPServerParams::Ptr serverParameters() {
  Poco::Net::HTTPServerParams::Ptr Parameters =
      new Poco::Net::HTTPServerParams();
  Parameters->setMaxThreads(MaxConnections);
  Parameters->setMaxQueued(MaxConnections);
  Parameters->setKeepAlive(true);
  Parameters->setKeepAliveTimeout(Poco::Timespan(KeepAliveSeconds, 0));
  Parameters->setMaxKeepAliveRequests(MaxRequestsPerConnection);
  return Parameters;
}

} // namespace

/// Listening socket and worker threads of a stand-in platform.
class stand_in_server {
public:
  stand_in_server(stand_in_state &State, std::uint16_t Port)
      : Threads(1, MaxConnections),
        Socket(Poco::Net::SocketAddress("127.0.0.1", Port), Backlog),
        Server(new handler_factory(State), Threads, Socket,
               serverParameters()) {
    Server.start();
  }

  ~stand_in_server() {
    Server.stopAll(true);
    Threads.joinAll();
  }

  stand_in_server(const stand_in_server &) = delete;
  stand_in_server &operator=(const stand_in_server &) = delete;

  [[nodiscard]] std::string address() const {
    return Socket.address().toString();
  }

private:
  Poco::ThreadPool Threads;
  Poco::Net::ServerSocket Socket;
  Poco::Net::HTTPServer Server;
};

} // namespace detail

stand_in_platform::stand_in_platform(std::uint16_t Port)
    : State(std::make_unique<detail::stand_in_state>()),
      Server(std::make_unique<detail::stand_in_server>(*State, Port)) {}

stand_in_platform::~stand_in_platform() {
  State->stop();
  Server.reset();
}

std::string stand_in_platform::address() const { return Server->address(); }

stand_in_counters stand_in_platform::counters() const {
  return State->counters();
}

void stand_in_platform::setFault(const stand_in_fault &Fault) {
  State->setFault(Fault);
}

void stand_in_platform::setHosts(std::vector<base::listed_host> Hosts) {
  State->setHosts(std::move(Hosts));
}

} // namespace radishrelay::tables
