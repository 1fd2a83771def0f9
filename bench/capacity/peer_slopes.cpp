#include "measurements.h"
#include "resources.h"

#include "radishrelay/daemon/peer_authenticator.h"
#include "radishrelay/daemon/peer_rpc_client.h"
#include "radishrelay/daemon/peer_rpc_server.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <future>
#include <stdexcept>
#include <thread>

namespace radishrelay::bench {

using namespace daemon;

namespace {

constexpr auto CallTimeout = std::chrono::seconds(5);
const char *const Secret = "a secret that the hosts share";

slope measureSeal() {
  slope Result("sealing and opening a datagram", "us", "bytes");
  peer_authenticator Seal(Secret);
  for (std::size_t Size : {64U, 300U, 600U, 1200U}) {
    std::string Message(Size, 'x');
    Result.add(static_cast<double>(Size),
               microsecondsPerCall(50'000, [&](std::size_t) {
                 if (!Seal.verifyDatagram(Seal.signDatagram(Message)))
                   throw std::runtime_error("the datagram was refused");
               }));
  }
  return Result;
}

/// Forwards one connection to a server and counts the bytes of both sides.
class counting_forwarder {
public:
  explicit counting_forwarder(std::uint16_t ServerPort)
      : Listening(Poco::Net::SocketAddress("127.0.0.1", 0)),
        ServerPort(ServerPort), Thread([this] { run(); }) {}
  ~counting_forwarder() { Thread.join(); }
  counting_forwarder(const counting_forwarder &) = delete;
  counting_forwarder &operator=(const counting_forwarder &) = delete;

  [[nodiscard]] std::string address() const {
    return Listening.address().toString();
  }

  std::atomic<std::uint64_t> Bytes{0};

private:
  void run() {
    Poco::Net::StreamSocket Caller = Listening.acceptConnection();
    Poco::Net::StreamSocket Server(
        Poco::Net::SocketAddress("127.0.0.1", ServerPort));
    while (true) {
      Poco::Net::Socket::SocketList Read{Caller, Server};
      Poco::Net::Socket::SocketList Write;
      Poco::Net::Socket::SocketList Failed;
      Poco::Net::Socket::select(Read, Write, Failed, Poco::Timespan(1, 0));
      for (const Poco::Net::Socket &Ready : Read) {
        bool FromCaller = Ready == Caller;
        if (!forward(FromCaller ? Caller : Server,
                     FromCaller ? Server : Caller))
          return;
      }
    }
  }

  bool forward(Poco::Net::StreamSocket &From, Poco::Net::StreamSocket &To) {
    std::array<char, 8192> Buffer{};
    int Count = From.receiveBytes(Buffer.data(), Buffer.size());
    for (int Sent = 0; Sent < Count;)
      Sent += To.sendBytes(&Buffer.at(static_cast<std::size_t>(Sent)),
                           Count - Sent);
    Bytes += static_cast<std::uint64_t>(std::max(Count, 0));
    return Count > 0;
  }

  Poco::Net::ServerSocket Listening;
  std::uint16_t ServerPort;
  std::thread Thread;
};

/// Bytes of TCP payload of calls, and processor time of both sides and the
/// forwarder between them.
slopes measureCalls() {
  slope Bytes("JSON-RPC call and answer", "bytes", "bytes of text sent");
  slope Work("JSON-RPC call: client, forwarder, server", "us",
             "bytes of text sent");
  peer_rpc_server Server("127.0.0.1:0", peer_authenticator(Secret),
                         [](peer_method, const base::json &) {
                           return std::optional<base::json>(
                               base::json::object());
                         });
  counting_forwarder Forwarder(Server.port());
  std::promise<bool> *Waiting = nullptr;
  peer_rpc_client Client(
      peer_authenticator(Secret),
      [&](peer_call_finished &&End) { Waiting->set_value(bool(End.Result)); });
  std::uint64_t Id = 0;
  auto Call = [&](std::size_t Size) {
    std::promise<bool> Done;
    Waiting = &Done;
    Client.call({++Id, Forwarder.address(), peer_method::Forward,
                 base::json{{"text", std::string(Size, 'x')}},
                 base::monotonic_clock::now() + CallTimeout});
    if (!Done.get_future().get())
      throw std::runtime_error("a call failed");
  };
  Call(1);
  for (std::size_t Size : {1U, 100U, 400U, 1600U}) {
    constexpr std::size_t Calls = 500;
    std::uint64_t Before = Forwarder.Bytes;
    double Start = processMicroseconds();
    for (std::size_t Index = 0; Index < Calls; ++Index)
      Call(Size);
    Work.add(static_cast<double>(Size),
             (processMicroseconds() - Start) / Calls);
    Bytes.add(static_cast<double>(Size),
              static_cast<double>(Forwarder.Bytes - Before) / Calls);
  }
  Client.stop();
  Server.stop();
  return {Bytes, Work};
}

} // namespace

slopes measurePeers() {
  slopes Result = {measureSeal()};
  for (slope &Slope : measureCalls())
    Result.push_back(std::move(Slope));
  return Result;
}

} // namespace radishrelay::bench
