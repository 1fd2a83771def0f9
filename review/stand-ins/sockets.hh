// Blocking TCP sockets on loopback, for stand-ins that use a thread for each
// connection.
#ifndef REVIEW_SOCKETS_HH
#define REVIEW_SOCKETS_HH

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

inline sockaddr_in loopback(int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

inline int boundSocket(int Type, int Port) {
  int Socket = ::socket(AF_INET, Type | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in Address = loopback(Port);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) !=
      0) {
    close(Socket);
    throw std::runtime_error("cannot bind a loopback port");
  }
  return Socket;
}

inline int portOf(int Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

/// A port that was free a moment ago. It lies below the ports that the system
/// gives to connections, which could take it before its process does.
inline int freePort(int Type = SOCK_STREAM) {
  static std::mt19937 Random(std::random_device{}());
  std::uniform_int_distribution<int> Ports(12000, 31999);
  while (true) {
    int Port = Ports(Random);
    try {
      close(boundSocket(Type, Port));
      return Port;
    } catch (const std::runtime_error &) {
      continue; // in use
    }
  }
}

inline std::string addressOf(int Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

inline int connectTo(int Port) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = loopback(Port);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address),
              sizeof(Address)) != 0) {
    close(Socket);
    return -1;
  }
  int One = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  return Socket;
}

inline bool sendAll(int Socket, std::string_view Bytes) {
  while (!Bytes.empty()) {
    ssize_t Count = send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
  }
  return true;
}

/// Waits until \p Socket has bytes, has ended or \p Deadline has passed.
/// Returns false after the deadline.
inline bool waitReadable(int Socket, clock::time_point Deadline) {
  auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      Deadline - clock::now());
  pollfd Entry{Socket, POLLIN, 0};
  return Left.count() > 0 &&
         poll(&Entry, 1, static_cast<int>(Left.count())) > 0;
}

/// Reads from one connection up to a delimiter or a number of bytes.
class reader {
public:
  explicit reader(int Socket) : Socket(Socket) {}

  /// Returns the bytes before \p Delimiter, and skips both; empty at the end
  /// of the stream or after \p Deadline.
  std::optional<std::string>
  until(std::string_view Delimiter,
        clock::time_point Deadline = clock::time_point::max()) {
    while (true) {
      std::size_t End = Buffer.find(Delimiter);
      if (End != std::string::npos) {
        std::string Result = Buffer.substr(0, End);
        Buffer.erase(0, End + Delimiter.size());
        return Result;
      }
      if (!more(Deadline))
        return std::nullopt;
    }
  }

  std::optional<std::string> exactly(std::size_t Count) {
    while (Buffer.size() < Count)
      if (!more(clock::time_point::max()))
        return std::nullopt;
    std::string Result = Buffer.substr(0, Count);
    Buffer.erase(0, Count);
    return Result;
  }

  /// Whether the peer has ended the connection.
  [[nodiscard]] bool hasEnded() const { return HasEnded; }

private:
  bool more(clock::time_point Deadline) {
    if (Deadline != clock::time_point::max() && !waitReadable(Socket, Deadline))
      return false;
    char Bytes[65536];
    ssize_t Count = recv(Socket, Bytes, sizeof(Bytes), 0);
    if (Count <= 0) {
      HasEnded = true;
      return false;
    }
    Buffer.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  }

  int Socket;
  std::string Buffer;
  bool HasEnded = false;
};

/// Accepts connections and serves each on a thread of its own. The connections
/// can be closed, as by the crash of a server, and the port opened again.
class server {
public:
  using handler = std::function<void(int Socket)>;

  explicit server(handler Serve)
      : Serve(std::move(Serve)), Listener(boundSocket(SOCK_STREAM, 0)) {
    Port = portOf(Listener);
    start();
  }
  ~server() {
    stop();
    for (std::thread &Thread : Threads)
      Thread.join();
  }
  server(const server &) = delete;
  server &operator=(const server &) = delete;

  [[nodiscard]] int port() const { return Port; }

  /// Closes the port and all connections.
  void stop() {
    {
      std::lock_guard Guard(Mutex);
      if (Listener < 0)
        return;
      shutdown(Listener, SHUT_RDWR);
      close(Listener);
      Listener = -1;
      for (int Socket : Sockets)
        shutdown(Socket, SHUT_RDWR);
    }
    Acceptor.join();
  }

  /// Opens the port again after stop().
  void restart() {
    Listener = boundSocket(SOCK_STREAM, Port);
    start();
  }

private:
  void start() {
    listen(Listener, 256);
    Acceptor = std::thread([this, Socket = Listener] { accept(Socket); });
  }

  void accept(int From) {
    while (true) {
      int Socket = accept4(From, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        return;
      int One = 1;
      setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
      std::lock_guard Guard(Mutex);
      Sockets.insert(Socket);
      Threads.emplace_back([this, Socket] {
        Serve(Socket);
        std::lock_guard Guard(Mutex);
        Sockets.erase(Socket);
        close(Socket);
      });
    }
  }

  handler Serve;
  int Listener;
  int Port = 0;
  std::mutex Mutex;
  std::set<int> Sockets;
  std::thread Acceptor;
  std::vector<std::thread> Threads;
};

} // namespace review

#endif
