#include "backend_client.h"
#include "radishrelay/backend/backend_error.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/unit_test.hpp>

#include <thread>

namespace {

using namespace radishrelay;
using namespace radishrelay::backend;
using namespace radishrelay::backend::tests;

const std::string Ready("Z\0\0\0\5I", 6);
const std::string AuthenticationOk("R\0\0\0\10\0\0\0\0", 9);

/// Accepts one connection, opens it, answers the first run with fixed bytes
/// and closes.
class fixed_server {
public:
  explicit fixed_server(std::string Answer)
      : Answer(std::move(Answer)), Thread([this] { serve(); }) {}
  ~fixed_server() { Thread.join(); }
  fixed_server(const fixed_server &) = delete;
  fixed_server &operator=(const fixed_server &) = delete;

  [[nodiscard]] std::string address() const {
    return Listener.address().toString();
  }

private:
  void serve() {
    Poco::Net::StreamSocket Client = Listener.acceptConnection();
    receive(Client);
    send(Client, AuthenticationOk + Ready);
    receive(Client);
    send(Client, Answer);
    awaitEnd(Client);
  }

  static void awaitEnd(Poco::Net::StreamSocket &Client) {
    try {
      while (receive(Client) > 0)
        ;
    } catch (const Poco::Net::NetException &) {
      // A client that closes with bytes unread resets the connection.
    }
  }

  static int receive(Poco::Net::StreamSocket &Client) {
    char Buffer[4096];
    return Client.receiveBytes(Buffer, sizeof(Buffer));
  }

  static void send(Poco::Net::StreamSocket &Client, const std::string &Bytes) {
    Client.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
  }

  std::string Answer;
  Poco::Net::ServerSocket Listener{Poco::Net::SocketAddress("127.0.0.1", 0)};
  std::thread Thread;
};

run_finished runAgainst(const std::string &Answer) {
  fixed_server Server(Answer);
  backend_client Client;
  connection_id Connection = Client.open(Server.address());
  return Client.run(Connection, {{"SELECT 1", {}}, {"SELECT 2", {}}});
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_server_that_breaks_the_protocol)

// Guards against a run that succeeds although its statements have no results.
BOOST_AUTO_TEST_CASE(by_an_early_end_ends_the_run_and_the_connection) {
  run_finished Finished = runAgainst(Ready + Ready + Ready);
  BOOST_TEST(Finished.Failure.Code == backend_error::ConnectionLost);
  BOOST_TEST(Finished.MayHaveReached);
  BOOST_TEST(Finished.Results.empty());
}

// Guards against a thread that spins or stops at bytes it cannot parse.
BOOST_AUTO_TEST_CASE(by_nonsense_ends_the_run_and_the_connection) {
  run_finished Finished = runAgainst("HTTP/1.1 400 Bad Request\r\n\r\n");
  BOOST_TEST(Finished.Failure.Code == backend_error::ConnectionLost);
  BOOST_TEST(Finished.MayHaveReached);
}

BOOST_AUTO_TEST_SUITE_END()
