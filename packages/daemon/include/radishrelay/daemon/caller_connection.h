#ifndef RADISHRELAY_DAEMON_CALLER_CONNECTION_H
#define RADISHRELAY_DAEMON_CALLER_CONNECTION_H

#include "radishrelay/daemon/http_message.h"
#include "radishrelay/daemon/readiness_set.h"

#include <Poco/Net/StreamSocket.h>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <optional>
#include <string>
#include <variant>

namespace radishrelay::daemon {

/// The input buffer holds no complete request, or an earlier request is still
/// running.
struct request_incomplete {};

/// Result of extracting a request from the input buffer; a problem when the
/// bytes are no acceptable request.
using parsed_input = std::variant<request_incomplete, http_request, problem>;

/// One HTTP/1.1 connection of a caller, with non-blocking reads and writes.
/// Processes one request at a time, so that answers keep the order of pipelined
/// requests. Used by the listener thread only.
class caller_connection
    : public boost::intrusive_ref_counter<caller_connection,
                                          boost::thread_unsafe_counter> {
public:
  static constexpr std::size_t MaxHeaderBytes = 16'384;
  static constexpr std::size_t MaxBodyBytes = 1'048'576;

  caller_connection(caller_connection_id Id,
                    const Poco::Net::StreamSocket &Socket);

  /// Result of a read or write: all done, stopped because the socket would
  /// block, or the connection was closed or failed.
  enum class progress { Done, Blocked, Closed };

  /// Reads the available bytes; Done means that the input buffer is full.
  progress receive();

  /// Removes the next complete request from the input buffer, unless a request
  /// is running or the connection is about to close.
  parsed_input takeRequest();

  /// Appends the answer to the running request to the output buffer.
  void queueAnswer(const http_answer &Answer);

  /// Writes the output buffer to the socket.
  progress flush();

  [[nodiscard]] caller_connection_id id() const { return Id; }
  [[nodiscard]] int descriptor() const { return Descriptor; }
  [[nodiscard]] bool hasRunningRequest() const { return RequestRunning; }
  [[nodiscard]] bool hasOutput() const { return OutputSent < Output.size(); }
  /// True when the connection must be closed once the output is written.
  [[nodiscard]] bool closesAfterOutput() const { return CloseAfterOutput; }
  void setBlockedOnWrite(bool Blocked) { BlockedOnWrite = Blocked; }
  /// Returns the events to wait for on the descriptor. Reading pauses while the
  /// input buffer is full.
  [[nodiscard]] readiness wantedReadiness() const;
  [[nodiscard]] readiness watched() const { return Watched; }
  void setWatched(readiness Now) { Watched = Now; }

private:
  parsed_input parseHeader(std::size_t HeaderSize);
  parsed_input takeBody();
  [[nodiscard]] bool isInputFull() const;
  void releaseIdleBuffers();

  caller_connection_id Id;
  Poco::Net::StreamSocket Socket;
  int Descriptor;
  std::string Input;
  std::string Output;
  std::size_t OutputSent = 0;
  /// Header of a request whose body has not arrived completely.
  std::optional<http_request> Pending;
  std::size_t PendingBodySize = 0;
  std::size_t PendingHeaderSize = 0;
  bool RequestRunning = false;
  bool CloseAfterRequest = false;
  bool CloseAfterOutput = false;
  bool BlockedOnWrite = false;
  readiness Watched = readiness::Read;
};

using caller_connection_ptr = boost::intrusive_ptr<caller_connection>;

} // namespace radishrelay::daemon

#endif
