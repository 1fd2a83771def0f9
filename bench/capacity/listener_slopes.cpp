#include "measurements.h"
#include "resources.h"

#include "radishrelay/daemon/caller_listener.h"

#include <stdexcept>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace radishrelay::bench {

namespace {

constexpr auto LongestWait = std::chrono::seconds(10);

/// Caller sockets without buffers of their own, so that the growth of the
/// process is the listener's.
class caller_sockets {
public:
  explicit caller_sockets(std::uint16_t Port) : Port(Port) {}
  ~caller_sockets() {
    for (int Descriptor : Open)
      ::close(Descriptor);
  }
  caller_sockets(const caller_sockets &) = delete;
  caller_sockets &operator=(const caller_sockets &) = delete;

  void connectTo(std::size_t Count) {
    while (Open.size() < Count) {
      int Descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
      if (Descriptor < 0)
        throw std::runtime_error("no further socket");
      Open.push_back(Descriptor);
      sockaddr_in Address{};
      Address.sin_family = AF_INET;
      Address.sin_port = htons(Port);
      Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      // The sockets interface takes all address types as sockaddr.
      // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
      auto *Generic = reinterpret_cast<sockaddr *>(&Address);
      if (::connect(Descriptor, Generic, sizeof(Address)) != 0)
        throw std::runtime_error("connect failed");
      exchange(Descriptor);
    }
  }

private:
  /// One request, as an idle kept-alive connection has served some.
  static void exchange(int Descriptor) {
    constexpr std::string_view Request =
        "POST /v1/routes/x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
    char Answer[1024];
    bool Done = ::send(Descriptor, Request.data(), Request.size(), 0) > 0 &&
                ::recv(Descriptor, Answer, sizeof(Answer), 0) > 0;
    if (!Done)
      throw std::runtime_error("the listener did not answer");
  }

  std::uint16_t Port;
  std::vector<int> Open;
};

void awaitConnections(const daemon::caller_listener &Listener,
                      std::size_t Count) {
  base::time_point End = base::monotonic_clock::now() + LongestWait;
  while (Listener.connectionCount() < Count) {
    if (base::monotonic_clock::now() > End)
      throw std::runtime_error("connections were not accepted");
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

} // namespace

slopes measureListener() {
  slope Memory("memory of idle caller connections", "bytes", "connections");
  slope Threads("threads of the process", "threads", "connections");
  slope Work("accept, one request, answer: both sides", "us", "connections");
  daemon::caller_listener Listener(
      Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0), 4096),
      [](daemon::http_request &&) {
        daemon::http_answer Answer;
        Answer.Body = R"({"rows":[],"affected":0})";
        return std::optional(Answer);
      },
      [](daemon::caller_connection_id) {});
  Listener.start();
  double Before = residentBytes();
  caller_sockets Callers(Listener.port());
  std::size_t Opened = 0;
  for (std::size_t Size : {10U, 100U, 1000U, 3500U}) {
    double Start = processMicroseconds();
    Callers.connectTo(Size);
    awaitConnections(Listener, Size);
    Work.add(static_cast<double>(Size), (processMicroseconds() - Start) /
                                            static_cast<double>(Size - Opened));
    Opened = Size;
    Memory.add(static_cast<double>(Size), residentBytes() - Before);
    Threads.add(static_cast<double>(Size), static_cast<double>(threadCount()));
  }
  Listener.stop(base::monotonic_clock::now());
  return {Memory, Threads, Work};
}

} // namespace radishrelay::bench
