#include "radishrelay/tables/http_connection.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <boost/algorithm/string/predicate.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>

namespace radishrelay::tables {

namespace detail {

/// HTTP session with an explicit connect, so that a failure to connect can be
/// distinguished from a failure during the transfer.
class http_session : public Poco::Net::HTTPClientSession {
public:
  using HTTPClientSession::HTTPClientSession;

  void connectNow() { reconnect(); }

  /// Chooses whether close() resets the connection, which discards all bytes
  /// that the peer has not received.
  void setResetOnClose(bool Value) { socket().setLinger(Value, 0); }

  /// Returns true if the server has closed the idle connection.
  bool closedByPeer() {
    return connected() && socket().poll(0, Poco::Net::Socket::SELECT_READ);
  }
};

} // namespace detail

namespace {

/// An idle connection is reconnected after this time.
constexpr int KeepAliveSeconds = 60;

Poco::Timespan remaining(base::time_point Deadline) {
  auto Left = Deadline - base::monotonic_clock::now();
  // POCO treats a timeout of zero as no timeout.
  return {std::max<Poco::Timespan::TimeDiff>(Left.count(), 1)};
}

std::errc errorCode(const Poco::Exception &Error) {
  if (dynamic_cast<const Poco::TimeoutException *>(&Error))
    return std::errc::timed_out;
  if (dynamic_cast<const Poco::Net::ConnectionRefusedException *>(&Error))
    return std::errc::connection_refused;
  return std::errc::connection_reset;
}

} // namespace

std::string http_response::header(std::string_view Name) const {
  for (const auto &[Field, Value] : Headers)
    if (boost::algorithm::iequals(Field, Name))
      return Value;
  return {};
}

http_connection::http_connection(std::string Address)
    : Address(std::move(Address)) {}

http_connection::~http_connection() = default;

http_failure http_connection::fail(const http_request &Request, bool Sent,
                                   std::errc Code, const std::string &Detail) {
  Session.reset();
  return {Sent, {std::make_error_code(Code), Request.Step, Address, Detail}};
}

void http_connection::connect(base::time_point Deadline) {
  if (Session && Session->closedByPeer())
    Session.reset();
  if (!Session) {
    Session = std::make_unique<detail::http_session>(
        Poco::Net::SocketAddress(Address));
    Session->setKeepAlive(true);
    Session->setKeepAliveTimeout(Poco::Timespan(KeepAliveSeconds, 0));
  }
  Session->setTimeout(remaining(Deadline));
  if (!Session->connected())
    Session->connectNow();
  Session->socket().setNoDelay(true);
}

void http_connection::limitDelivery(const http_request &Request,
                                    base::time_point Deadline) {
  // Set before the first byte: the session closes its socket itself after a
  // failed call, and the kernel does if the process is killed.
  Session->setResetOnClose(true);
  if (!Request.ExpiresAtDeadline)
    return;
  // Also holds while the process is suspended.
  auto Left = std::chrono::ceil<std::chrono::milliseconds>(
      Deadline - base::monotonic_clock::now());
  Session->socket().setOption(
      IPPROTO_TCP, TCP_USER_TIMEOUT,
      static_cast<int>(std::max<std::int64_t>(Left.count(), 1)));
}

http_response http_connection::sendAndReceive(const http_request &Request,
                                              base::time_point Deadline) {
  Poco::Net::HTTPRequest Header(Request.Method, Request.Path,
                                Poco::Net::HTTPMessage::HTTP_1_1);
  Header.setKeepAlive(true);
  Header.setContentType("application/json");
  for (const auto &[Name, Value] : Request.Headers)
    Header.set(Name, Value);
  Header.setContentLength(static_cast<std::streamsize>(Request.Body.size()));
  Session->sendRequest(Header) << Request.Body << std::flush;

  Session->socket().setReceiveTimeout(remaining(Deadline));
  Poco::Net::HTTPResponse Response;
  std::istream &Stream = Session->receiveResponse(Response);
  http_response Result;
  Result.Status = Response.getStatus();
  Result.Headers.assign(Response.begin(), Response.end());
  Poco::StreamCopier::copyToString(Stream, Result.Body);
  bool Complete = !Response.hasContentLength() ||
                  Response.getContentLength() ==
                      static_cast<std::streamsize>(Result.Body.size());
  if (!Complete)
    throw Poco::Net::MessageException(
        "response body ended before its Content-Length was reached");
  Session->setResetOnClose(false);
  if (Request.ExpiresAtDeadline || !Response.getKeepAlive())
    Session.reset();
  return Result;
}

base::expected<http_response, http_failure>
http_connection::exchange(const http_request &Request,
                          base::time_point Deadline) {
  auto IsLate = [&] { return base::monotonic_clock::now() >= Deadline; };
  auto FailLate = [&] {
    return fail(Request, false, std::errc::timed_out, "deadline has passed");
  };
  if (IsLate())
    return FailLate();
  try {
    if (Request.ExpiresAtDeadline)
      Session.reset();
    connect(Deadline);
    limitDelivery(Request, Deadline);
  } catch (const Poco::Exception &Error) {
    return fail(Request, false, errorCode(Error), Error.displayText());
  }
  // The process may have been suspended while it connected.
  if (IsLate())
    return FailLate();
  try {
    return sendAndReceive(Request, Deadline);
  } catch (const Poco::Exception &Error) {
    return fail(Request, true, errorCode(Error), Error.displayText());
  } catch (const std::ios_base::failure &Error) {
    return fail(Request, true, std::errc::io_error, Error.what());
  }
}

} // namespace radishrelay::tables
