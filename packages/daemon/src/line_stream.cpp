#include "radishrelay/daemon/line_stream.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace radishrelay::daemon {

namespace {

/// Size of one read; most messages are shorter than one kilobyte.
constexpr std::size_t ReadChunkBytes = 8192;
/// Maximum length of a protocol message without its CR LF; a longer line ends
/// the connection.
constexpr std::size_t MaxLineBytes = 1048576;
/// Maximum length of an incomplete line: a message and its CR.
constexpr std::size_t MaxPendingBytes = MaxLineBytes + 1;
/// The connection fails if sent data is not acknowledged within this time. It
/// is shorter than the statement time-outs, so that a dead peer is detected
/// before a statement times out.
constexpr unsigned AcknowledgementTimeoutMilliseconds = 3000;
constexpr int KeepAliveIdleSeconds = 2;
constexpr int KeepAliveProbes = 2;

void setOption(int Descriptor, int Level, int Name, int Value) {
  // Errors are ignored, since the options only make the detection of a dead
  // peer faster.
  setsockopt(Descriptor, Level, Name, &Value, sizeof(Value));
}

void configure(int Descriptor) {
  setOption(Descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(AcknowledgementTimeoutMilliseconds));
}

} // namespace

line_stream::line_stream(event_loop &Loop, int Descriptor,
                         line_stream_events Events)
    : Loop(Loop), Descriptor(Descriptor), Events(std::move(Events)) {
  configure(Descriptor);
  // A non-blocking connect() has completed when the socket becomes writable.
  WantsWrite = this->Events.Connected != nullptr;
  IsConnected = !WantsWrite;
  Loop.add(Descriptor, *this, WantsWrite);
}

line_stream::~line_stream() {
  if (Descriptor < 0)
    return;
  Loop.remove(Descriptor);
  close(Descriptor);
}

int line_stream::connect(const std::string &Address) {
  try {
    Poco::Net::SocketAddress Peer(Address);
    int Socket =
        socket(Peer.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (Socket < 0)
      return -1;
    // Lets a listener use the local port that the system chooses.
    setOption(Socket, SOL_SOCKET, SO_REUSEADDR, 1);
    int Result = ::connect(Socket, Peer.addr(), Peer.length());
    if (Result == 0 || errno == EINPROGRESS)
      return Socket;
    close(Socket);
  } catch (const Poco::Exception &) {
    // A malformed address is reported like an unreachable one.
    return -1;
  }
  return -1;
}

void line_stream::watchWrites(bool Wanted) {
  if (Wanted == WantsWrite || HasEnded)
    return;
  WantsWrite = Wanted;
  Loop.change(Descriptor, *this, Wanted);
}

void line_stream::end() {
  if (HasEnded)
    return;
  HasEnded = true;
  Loop.remove(Descriptor);
  close(Descriptor);
  Descriptor = -1;
  if (Events.Ended)
    Events.Ended();
}

void line_stream::flush() {
  if (HasEnded || !IsConnected)
    return;
  std::size_t Sent = 0;
  while (Sent < Output.size()) {
    ssize_t Count = send(Descriptor, Output.data() + Sent, Output.size() - Sent,
                         MSG_NOSIGNAL);
    if (Count > 0) {
      Sent += static_cast<std::size_t>(Count);
      continue;
    }
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      break;
    end();
    return;
  }
  Output.erase(0, Sent);
  if (Output.empty() && IsClosing) {
    end();
    return;
  }
  watchWrites(!Output.empty());
}

void line_stream::closeAfterOutput() {
  IsClosing = true;
  flush();
}

bool line_stream::hasUnreadInput() const {
  if (Input.pendingBytes() > 0)
    return true;
  char Byte = 0;
  return !HasEnded && IsConnected &&
         recv(Descriptor, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

void line_stream::writable() {
  if (!IsConnected) {
    int Error = 0;
    socklen_t Size = sizeof(Error);
    getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Error, &Size);
    if (Error != 0) {
      end();
      return;
    }
    IsConnected = true;
    Events.Connected();
  }
  flush();
}

void line_stream::readable() {
  std::array<char, ReadChunkBytes> Buffer;
  bool IsAtEnd = false;
  while (true) {
    ssize_t Count = recv(Descriptor, Buffer.data(), Buffer.size(), 0);
    if (Count > 0) {
      Input.append({Buffer.data(), static_cast<std::size_t>(Count)});
      if (static_cast<std::size_t>(Count) == Buffer.size() &&
          Input.pendingBytes() < MaxPendingBytes)
        continue;
      break;
    }
    if (Count < 0 && errno == EINTR)
      continue;
    IsAtEnd = Count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    break;
  }
  deliverLines();
  if (!HasEnded && (IsAtEnd || Input.pendingBytes() > MaxPendingBytes))
    end();
}

void line_stream::deliverLines() {
  while (!HasEnded && !IsClosing) {
    std::optional<std::string_view> Line = Input.take();
    if (!Line)
      break;
    if (Line->size() > MaxLineBytes) {
      end();
      return;
    }
    Events.Line(*Line);
  }
  Input.discardTaken();
}

} // namespace radishrelay::daemon
