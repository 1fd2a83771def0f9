#include "radishrelay/daemon/caller_listener.h"

#include <boost/test/unit_test.hpp>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <array>
#include <future>

namespace {

using namespace radishrelay::daemon;
namespace base = radishrelay::base;

/// A listener that immediately answers every path with the path and the body's
/// size, except "/later", which it leaves unanswered. Reports disconnects.
struct listener_fixture {
  listener_fixture()
      : Listener(
            Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)),
            [this](http_request &&Request) {
              return handle(std::move(Request));
            },
            [this](caller_connection_id Id) { Disconnected.set_value(Id); }) {
    Listener.start();
  }

  std::optional<http_answer> handle(http_request &&Request) {
    if (Request.Path == "/later") {
      OpenRequest.set_value(Request.Connection);
      return std::nullopt;
    }
    http_answer Answer;
    Answer.ContentType = "text/plain";
    Answer.Body = Request.Path + ":" + std::to_string(Request.Body.size());
    return Answer;
  }

  Poco::Net::StreamSocket connect() {
    Poco::Net::StreamSocket Socket(
        Poco::Net::SocketAddress("127.0.0.1", Listener.port()));
    Socket.setReceiveTimeout(Poco::Timespan(10, 0));
    return Socket;
  }

  std::promise<caller_connection_id> OpenRequest;
  std::promise<caller_connection_id> Disconnected;
  caller_listener Listener;
};

void send(Poco::Net::StreamSocket &Socket, const std::string &Text) {
  std::size_t Sent = 0;
  while (Sent < Text.size())
    Sent += static_cast<std::size_t>(Socket.sendBytes(
        Text.data() + Sent, static_cast<int>(Text.size() - Sent)));
}

/// Reads until \p Awaited has arrived or the connection has closed; an empty
/// \p Awaited reads until the connection has closed.
std::string readUntil(Poco::Net::StreamSocket &Socket,
                      const std::string &Awaited) {
  std::string Text;
  std::array<char, 4096> Buffer{};
  while (Awaited.empty() || Text.find(Awaited) == std::string::npos) {
    int Count = Socket.receiveBytes(Buffer.data(), Buffer.size());
    if (Count <= 0)
      break;
    Text.append(Buffer.data(), static_cast<std::size_t>(Count));
  }
  return Text;
}

std::string post(const std::string &Path, const std::string &Body) {
  return "POST " + Path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_caller_connection, listener_fixture)

BOOST_AUTO_TEST_SUITE(serves_requests)

// Guards against a connection that serves only its first request.
BOOST_AUTO_TEST_CASE(one_after_another_on_one_connection) {
  Poco::Net::StreamSocket Socket = connect();
  send(Socket, post("/now", "abc"));
  BOOST_TEST(contains(readUntil(Socket, "/now:3"), "HTTP/1.1 200 OK"));
  send(Socket, post("/now", ""));
  BOOST_TEST(contains(readUntil(Socket, "/now:0"), "HTTP/1.1 200 OK"));
}

// Guards against a stack overflow when each pipelined request is served from
// the call that answered the one before.
BOOST_AUTO_TEST_CASE(pipelined_by_the_thousand_without_deep_recursion) {
  Poco::Net::StreamSocket Socket = connect();
  constexpr int Count = 5000;
  std::string Requests;
  for (int Index = 0; Index < Count; ++Index)
    Requests += post("/now" + std::to_string(Index), "");
  std::thread Sender([&] { send(Socket, Requests); });
  std::string Answers = readUntil(Socket, "/now4999:0");
  Sender.join();
  std::size_t At = 0;
  for (int Index = 0; Index < Count && At != std::string::npos; ++Index)
    At = Answers.find("/now" + std::to_string(Index) + ":0", At);
  BOOST_TEST(At != std::string::npos, "answers are missing or out of order");
}

// Guards against a parser that expects a header or body in one read.
BOOST_AUTO_TEST_CASE(that_arrive_byte_by_byte) {
  Poco::Net::StreamSocket Socket = connect();
  Socket.setNoDelay(true);
  for (char Letter : post("/now", "xy"))
    send(Socket, std::string(1, Letter));
  BOOST_TEST(contains(readUntil(Socket, "/now:2"), "200 OK"));
}

// Guards against answers out of order when a request behind an unanswered one
// could be answered immediately.
BOOST_AUTO_TEST_CASE(whose_answer_comes_later_from_another_thread) {
  Poco::Net::StreamSocket Socket = connect();
  send(Socket, post("/later", "") + post("/now", "z"));
  http_answer Answer;
  Answer.Connection = OpenRequest.get_future().get();
  Answer.Body = "\"late\"";
  Listener.sendAnswer(std::move(Answer));
  std::string Answers = readUntil(Socket, "/now:1");
  BOOST_TEST(Answers.find("late") < Answers.find("/now:1"));
}

// Guards against acknowledging a write after the evidence for it has expired.
BOOST_AUTO_TEST_CASE(with_outcome_unknown_after_the_evidence_expired) {
  Poco::Net::StreamSocket Socket = connect();
  send(Socket, post("/later", ""));
  http_answer Answer;
  Answer.Connection = OpenRequest.get_future().get();
  Answer.Body = "\"acknowledged\"";
  Answer.ValidUntil = base::monotonic_clock::now();
  Listener.sendAnswer(std::move(Answer));
  std::string Text = readUntil(Socket, "ran");
  BOOST_TEST(contains(Text, "HTTP/1.1 504"));
  BOOST_TEST(!contains(Text, "acknowledged"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(refuses_invalid_requests)

// Guards against unbounded memory for a request body.
BOOST_AUTO_TEST_CASE(with_a_body_above_the_limit) {
  Poco::Net::StreamSocket Socket = connect();
  send(Socket, "POST /now HTTP/1.1\r\nContent-Length: 1048577\r\n\r\n");
  std::string Answer = readUntil(Socket, "");
  BOOST_TEST(contains(Answer, "HTTP/1.1 413"));
  BOOST_TEST(contains(Answer, "\"code\":\"body_too_large\",\"ran\":\"no\""));
}

// Guards against unbounded memory for a header that never ends.
BOOST_AUTO_TEST_CASE(with_a_header_above_the_limit) {
  Poco::Net::StreamSocket Socket = connect();
  send(Socket, "POST /now HTTP/1.1\r\nX: " + std::string(20000, 'a'));
  BOOST_TEST(contains(readUntil(Socket, "ran"), "HTTP/1.1 431"));
}

// Guards against a wrong body length taken from a header that is malformed or
// has no usable Content-Length.
BOOST_AUTO_TEST_CASE(with_a_malformed_header_or_a_chunked_body) {
  Poco::Net::StreamSocket First = connect();
  send(First, "POST\r\n\r\n");
  BOOST_TEST(contains(readUntil(First, ""), "HTTP/1.1 400"));
  Poco::Net::StreamSocket Second = connect();
  send(Second, "POST /now HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  BOOST_TEST(contains(readUntil(Second, ""), "HTTP/1.1 411"));
  Poco::Net::StreamSocket Third = connect();
  send(Third, "POST /now HTTP/1.1\r\nContent-Length: -5\r\n\r\n");
  BOOST_TEST(contains(readUntil(Third, ""), "HTTP/1.1 400"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(closes)

// Guards against requests that keep running for a caller that has disconnected,
// and against an answer that reaches another caller's connection.
BOOST_AUTO_TEST_CASE(and_reports_its_running_request) {
  caller_connection_id Id = 0;
  {
    Poco::Net::StreamSocket Socket = connect();
    send(Socket, post("/later", ""));
    Id = OpenRequest.get_future().get();
  }
  BOOST_TEST(Disconnected.get_future().get() == Id);
  http_answer Answer;
  Answer.Connection = Id;
  Listener.sendAnswer(std::move(Answer));
  Poco::Net::StreamSocket Next = connect();
  send(Next, post("/now", ""));
  BOOST_TEST(contains(readUntil(Next, "/now:0"), "/now:0"));
}

// Guards against a graceful shutdown that drops the answer to a running
// request.
BOOST_AUTO_TEST_CASE(after_its_running_request_when_the_listener_stops) {
  Poco::Net::StreamSocket Socket = connect();
  send(Socket, post("/later", ""));
  http_answer Answer;
  Answer.Connection = OpenRequest.get_future().get();
  Answer.Body = "\"finished\"";
  Listener.stopAccepting();
  auto Stopped = std::async(std::launch::async, [this] {
    Listener.stop(base::monotonic_clock::now() + std::chrono::seconds(30));
  });
  Listener.sendAnswer(std::move(Answer));
  std::string Text = readUntil(Socket, "");
  BOOST_TEST(contains(Text, "finished"));
  BOOST_TEST(contains(Text, "Connection: close"));
  Stopped.get();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
