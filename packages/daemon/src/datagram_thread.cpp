#include "radishrelay/daemon/datagram_thread.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <array>
#include <optional>

namespace radishrelay::daemon {

namespace {

/// Interval at which the receiving thread checks whether it must stop.
constexpr long ReceiveTimeoutMicroseconds = 100'000;

} // namespace

datagram_thread::datagram_thread(const std::string &Address,
                                 peer_authenticator Authenticator,
                                 datagram_sink Sink)
    : Socket(Poco::Net::SocketAddress(Address)),
      Authenticator(std::move(Authenticator)), Sink(std::move(Sink)) {
  Socket.setReceiveTimeout(Poco::Timespan(ReceiveTimeoutMicroseconds));
  Thread = std::thread([this] { run(); });
}

datagram_thread::~datagram_thread() { stop(); }

void datagram_thread::send(const std::string &Address,
                           const std::string &Message) {
  std::string Datagram = Authenticator.signDatagram(Message);
  try {
    Socket.sendTo(Datagram.data(), static_cast<int>(Datagram.size()),
                  Poco::Net::SocketAddress(Address));
    SentBytes += Datagram.size();
  } catch (const Poco::Exception &) {
    // Senders must tolerate lost datagrams anyway.
  }
}

void datagram_thread::stop() {
  Stopping = true;
  if (Thread.joinable())
    Thread.join();
}

void datagram_thread::run() {
  std::array<char, MaxDatagramBytes> Buffer{};
  while (!Stopping) {
    try {
      Poco::Net::SocketAddress Sender;
      int Count = Socket.receiveFrom(Buffer.data(), Buffer.size(), Sender);
      ReceivedBytes += static_cast<std::uint64_t>(Count);
      std::optional<std::string> Message = Authenticator.verifyDatagram(
          {Buffer.data(), static_cast<std::size_t>(Count)});
      if (Message)
        Sink(std::move(*Message), Sender.toString());
    } catch (const Poco::Exception &) {
      // The receive timed out, or an earlier datagram went to a closed port
      // (ICMP port unreachable).
    }
  }
}

} // namespace radishrelay::daemon
