#include "radishrelay/daemon/caller_connection.h"

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SecureStreamSocket.h>

#include <array>
#include <cerrno>

namespace radishrelay::daemon {

namespace {

constexpr std::size_t ReadChunkBytes = 16'384;
/// Empty buffers with a larger capacity are freed while the connection is idle,
/// to keep the memory per idle connection small.
constexpr std::size_t IdleBufferBytes = 1024;
constexpr std::string_view HeaderEnd = "\r\n\r\n";

bool wouldBlock(int Result) {
  if (Result == Poco::Net::SecureStreamSocket::ERR_SSL_WANT_READ ||
      Result == Poco::Net::SecureStreamSocket::ERR_SSL_WANT_WRITE)
    return true;
  return Result < 0;
}

void freeIfLarge(std::string &Buffer) {
  if (Buffer.empty() && Buffer.capacity() > IdleBufferBytes)
    std::string().swap(Buffer);
}

http_request fromPoco(const Poco::Net::HTTPRequest &Header) {
  http_request Request;
  Request.Method = Header.getMethod();
  Request.Path = Header.getURI();
  for (const auto &[Name, Value] : Header)
    Request.Headers.push_back({Name, Value});
  return Request;
}

problem bodyProblem(problem_code Code, const std::string &Detail) {
  return {Code, groups::ran_state::No, Detail, "read request", "", 0};
}

} // namespace

caller_connection::caller_connection(caller_connection_id Id,
                                     const Poco::Net::StreamSocket &Socket)
    : Id(Id), Socket(Socket), Descriptor(this->Socket.impl()->sockfd()) {}

bool caller_connection::isInputFull() const {
  return Input.size() >= MaxHeaderBytes + MaxBodyBytes;
}

readiness caller_connection::wantedReadiness() const {
  if (isInputFull())
    return BlockedOnWrite ? readiness::Write : readiness::None;
  return BlockedOnWrite ? readiness::ReadWrite : readiness::Read;
}

caller_connection::progress caller_connection::receive() {
  std::array<char, ReadChunkBytes> Chunk{};
  try {
    while (!isInputFull()) {
      int Count = Socket.receiveBytes(Chunk.data(), Chunk.size());
      if (Count == 0)
        return progress::Closed;
      if (wouldBlock(Count))
        return progress::Blocked;
      Input.append(Chunk.data(), static_cast<std::size_t>(Count));
      if (static_cast<std::size_t>(Count) < Chunk.size())
        return progress::Blocked;
    }
  } catch (const Poco::Exception &) {
    return progress::Closed;
  }
  return progress::Done;
}

parsed_input caller_connection::takeRequest() {
  if (RequestRunning || CloseAfterOutput)
    return request_incomplete{};
  if (Pending)
    return takeBody();
  std::size_t End = Input.find(HeaderEnd);
  if (End == std::string::npos) {
    if (Input.size() > MaxHeaderBytes)
      return bodyProblem(problem_code::HeaderTooLarge,
                         "a request header has at most 16384 bytes");
    releaseIdleBuffers();
    return request_incomplete{};
  }
  return parseHeader(End + HeaderEnd.size());
}

parsed_input caller_connection::parseHeader(std::size_t HeaderSize) {
  Poco::Net::HTTPRequest Header;
  try {
    Poco::MemoryInputStream Stream(Input.data(),
                                   static_cast<std::streamsize>(HeaderSize));
    Header.read(Stream);
  } catch (const Poco::Exception &Error) {
    return bodyProblem(problem_code::BodyMalformed, Error.displayText());
  }
  if (Header.getChunkedTransferEncoding())
    return bodyProblem(problem_code::LengthRequired,
                       "chunked request bodies are not supported");
  Poco::Int64 Length = 0;
  if (Header.hasContentLength()) {
    try {
      Length = Header.getContentLength64();
    } catch (const Poco::Exception &) {
      Length = -1;
    }
    if (Length < 0)
      return bodyProblem(problem_code::BodyMalformed,
                         "Content-Length is not a number");
  }
  if (Length > static_cast<Poco::Int64>(MaxBodyBytes))
    return bodyProblem(problem_code::BodyTooLarge,
                       "a request body has at most 1048576 bytes");
  Pending = fromPoco(Header);
  CloseAfterRequest = !Header.getKeepAlive();
  PendingBodySize = static_cast<std::size_t>(Length);
  PendingHeaderSize = HeaderSize;
  if (Header.getExpectContinue())
    Output += "HTTP/1.1 100 Continue\r\n\r\n";
  return takeBody();
}

parsed_input caller_connection::takeBody() {
  std::size_t RequestSize = PendingHeaderSize + PendingBodySize;
  if (Input.size() < RequestSize)
    return request_incomplete{};
  http_request Request = std::move(*Pending);
  Pending.reset();
  Request.Connection = Id;
  Request.Body = Input.substr(PendingHeaderSize, PendingBodySize);
  Input.erase(0, RequestSize);
  RequestRunning = true;
  return Request;
}

void caller_connection::queueAnswer(const http_answer &Answer) {
  RequestRunning = false;
  CloseAfterOutput = CloseAfterRequest || Answer.CloseConnection;
  auto Status = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Answer.Status);
  Output += "HTTP/1.1 " + std::to_string(Answer.Status) + " ";
  Output += Poco::Net::HTTPResponse::getReasonForStatus(Status);
  Output += "\r\nContent-Type: " + Answer.ContentType;
  Output += "\r\nContent-Length: " + std::to_string(Answer.Body.size());
  for (const http_header &Header : Answer.Headers)
    Output += "\r\n" + Header.Name + ": " + Header.Value;
  if (CloseAfterOutput)
    Output += "\r\nConnection: close";
  Output += HeaderEnd;
  Output += Answer.Body;
}

caller_connection::progress caller_connection::flush() {
  try {
    while (hasOutput()) {
      int Count =
          Socket.sendBytes(Output.data() + OutputSent,
                           static_cast<int>(Output.size() - OutputSent));
      if (wouldBlock(Count))
        return progress::Blocked;
      OutputSent += static_cast<std::size_t>(Count);
    }
  } catch (const Poco::Exception &) {
    return progress::Closed;
  }
  Output.clear();
  OutputSent = 0;
  releaseIdleBuffers();
  return progress::Done;
}

void caller_connection::releaseIdleBuffers() {
  freeIfLarge(Input);
  freeIfLarge(Output);
}

} // namespace radishrelay::daemon
