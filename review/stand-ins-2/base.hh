/// \file
/// What all stand-ins share: the record of a run, sockets and lines.
#ifndef REVIEW_STAND_INS_2_BASE_HH
#define REVIEW_STAND_INS_2_BASE_HH

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstring>
#include <fstream>
#include <mutex>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review2 {

using clock = std::chrono::steady_clock;
using json = nlohmann::json;
using namespace std::chrono_literals;

/// Writes what was sent, answered and run, with seconds since the start.
class record {
public:
  explicit record(const std::string &File) : Out(File) {}

  void add(const std::string &Who, const std::string &What) {
    std::lock_guard Lock(Mutex);
    char Time[16];
    std::snprintf(Time, sizeof(Time), "%8.3f", seconds());
    Out << Time << "  " << Who << ": " << What << std::endl;
  }
  [[nodiscard]] double seconds() const {
    return std::chrono::duration<double>(clock::now() - Start).count();
  }

private:
  clock::time_point Start = clock::now();
  std::mutex Mutex;
  std::ofstream Out;
};

inline sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

/// Listens on a free port; \p Port is set to it.
inline int listenOn(const std::string &Ip, int &Port) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = addressOf(Ip, Port);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) !=
          0 ||
      listen(Socket, 256) != 0)
    throw std::runtime_error("cannot listen on " + Ip);
  socklen_t Size = sizeof(Address);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port = ntohs(Address.sin_port);
  return Socket;
}

/// Returns a port that was free a moment ago, below those of outgoing
/// connections.
inline int freePort(const std::string &Ip, int Type = SOCK_STREAM) {
  static std::mt19937 Random{std::random_device{}()};
  constexpr int MinPort = 12'000;
  constexpr int MaxPort = 31'000;
  constexpr int Tries = 1000;
  std::uniform_int_distribution<int> Ports(MinPort, MaxPort);
  for (int Try = 0; Try < Tries; ++Try) {
    int Port = Ports(Random);
    int Socket = socket(AF_INET, Type | SOCK_CLOEXEC, 0);
    sockaddr_in Address = addressOf(Ip, Port);
    int Result =
        bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    close(Socket);
    if (Result == 0)
      return Port;
  }
  throw std::runtime_error("no free port on " + Ip);
}

inline int connectTo(const std::string &Ip, int Port) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = addressOf(Ip, Port);
  if (Socket < 0 || connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                            sizeof(Address)) != 0) {
    if (Socket >= 0)
      close(Socket);
    return -1;
  }
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

/// Reads lines that end at CR LF, and blocks of bytes.
class line_reader {
public:
  explicit line_reader(int Socket) : Socket(Socket) {}

  std::optional<std::string> line(clock::time_point Deadline) {
    std::size_t End = 0;
    while ((End = Rest.find("\r\n")) == std::string::npos)
      if (!fill(Deadline))
        return std::nullopt;
    std::string Line = Rest.substr(0, End);
    Rest.erase(0, End + 2);
    return Line;
  }
  std::optional<std::string> block(std::size_t Size,
                                   clock::time_point Deadline) {
    while (Rest.size() < Size)
      if (!fill(Deadline))
        return std::nullopt;
    std::string Block = Rest.substr(0, Size);
    Rest.erase(0, Size);
    return Block;
  }
  [[nodiscard]] bool hasEnded() const { return HasEnded; }

private:
  bool fill(clock::time_point Deadline) {
    auto Left =
        std::chrono::ceil<std::chrono::milliseconds>(Deadline - clock::now());
    pollfd Watched{Socket, POLLIN, 0};
    if (Left.count() < 0 ||
        poll(&Watched, 1,
             static_cast<int>(std::min<long>(Left.count(), 3'600'000))) <= 0)
      return false;
    char Buffer[65536];
    ssize_t Count = recv(Socket, Buffer, sizeof(Buffer), 0);
    HasEnded = Count <= 0;
    if (!HasEnded)
      Rest.append(Buffer, static_cast<std::size_t>(Count));
    return !HasEnded;
  }

  int Socket;
  std::string Rest;
  bool HasEnded = false;
};

/// Accepts connections and serves each on a thread of its own, until the
/// process ends.
template <typename Serve> void acceptForever(int Listener, Serve Run) {
  std::thread([Listener, Run] {
    while (true) {
      int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        continue;
      std::thread([Socket, Run] {
        Run(Socket);
        close(Socket);
      }).detach();
    }
  }).detach();
}

/// Removes the first field of \p Text and returns it.
inline std::string takeField(std::string &Text) {
  std::size_t End = std::min(Text.find(' '), Text.size());
  std::string Field = Text.substr(0, End);
  Text.erase(0, std::min(End + 1, Text.size()));
  return Field;
}

} // namespace review2

#endif
