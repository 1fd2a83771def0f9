#ifndef RADISHRELAY_DAEMON_DATAGRAM_THREAD_H
#define RADISHRELAY_DAEMON_DATAGRAM_THREAD_H

#include "radishrelay/daemon/peer_authenticator.h"

#include <Poco/Net/DatagramSocket.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

namespace radishrelay::daemon {

/// Receives the content of an authenticated datagram and the sender's address
/// ("IP:PORT"); called on the receiving thread.
using datagram_sink =
    std::function<void(std::string &&Message, const std::string &Sender)>;

/// Exchanges authenticated datagrams with the other hosts. Datagrams with a
/// wrong authentication code are dropped.
class datagram_thread {
public:
  static constexpr std::size_t MaxDatagramBytes = 1400;

  datagram_thread(const std::string &Address, peer_authenticator Authenticator,
                  datagram_sink Sink);
  ~datagram_thread();
  datagram_thread(const datagram_thread &) = delete;
  datagram_thread &operator=(const datagram_thread &) = delete;

  /// Sends a datagram. A datagram that cannot be sent is dropped without an
  /// error, since the network may lose it as well. May be called from any
  /// thread.
  void send(const std::string &Address, const std::string &Message);

  void stop();

  [[nodiscard]] std::uint64_t sentBytes() const { return SentBytes; }
  [[nodiscard]] std::uint64_t receivedBytes() const { return ReceivedBytes; }

private:
  void run();

  Poco::Net::DatagramSocket Socket;
  peer_authenticator Authenticator;
  datagram_sink Sink;
  std::atomic<bool> Stopping{false};
  std::atomic<std::uint64_t> SentBytes{0};
  std::atomic<std::uint64_t> ReceivedBytes{0};
  std::thread Thread;
};

} // namespace radishrelay::daemon

#endif
