#ifndef RADISHRELAY_DAEMON_DATAGRAM_THREAD_H
#define RADISHRELAY_DAEMON_DATAGRAM_THREAD_H

#include "radishrelay/daemon/peer_seal.h"

#include <Poco/Net/DatagramSocket.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

namespace radishrelay::daemon {

/// Takes the authenticated content of a datagram and its sender "IP:PORT";
/// called on the receiving thread.
using datagram_sink =
    std::function<void(std::string &&Message, const std::string &Sender)>;

/// Exchanges sealed datagrams with the other hosts.
class datagram_thread {
public:
  static constexpr std::size_t MaxDatagramBytes = 1400;

  datagram_thread(const std::string &Address, peer_seal Seal,
                  datagram_sink Sink);
  ~datagram_thread();
  datagram_thread(const datagram_thread &) = delete;
  datagram_thread &operator=(const datagram_thread &) = delete;

  /// Sends without waiting; a datagram that cannot be sent is lost, as it may
  /// be on the network. May be called from any thread.
  void send(const std::string &Address, const std::string &Message);

  void stop();

  [[nodiscard]] std::uint64_t sentBytes() const { return SentBytes; }
  [[nodiscard]] std::uint64_t receivedBytes() const { return ReceivedBytes; }

private:
  void run();

  Poco::Net::DatagramSocket Socket;
  peer_seal Seal;
  datagram_sink Sink;
  std::atomic<bool> Stopping{false};
  std::atomic<std::uint64_t> SentBytes{0};
  std::atomic<std::uint64_t> ReceivedBytes{0};
  std::thread Thread;
};

} // namespace radishrelay::daemon

#endif
