// A proxy on a link that can be cut as by a partition: bytes that were sent
// before the cut, or into an open connection during it, are held up and arrive
// when it heals, unless their sender resets the connection. Connections that
// are opened during the cut hang; one that its client has closed by the end of
// the cut never comes about.
#ifndef REVIEW_PARTITION_HH
#define REVIEW_PARTITION_HH

#include "sockets.hh"

namespace review {

class partition {
public:
  explicit partition(int TargetPort)
      : TargetPort(TargetPort), Port([this](int Socket) { forward(Socket); }) {}
  ~partition() {
    IsStopping = true;
    Port.stop();
  }

  [[nodiscard]] int port() const { return Port.port(); }
  void cut() { IsCut = true; }
  void heal() { IsCut = false; }

private:
  void forward(int Client) {
    bool WasOpenedDuringCut = IsCut;
    while (IsCut && !IsStopping)
      std::this_thread::sleep_for(2ms);
    if (WasOpenedDuringCut && hasEnded(Client))
      return;
    int Target = connectTo(TargetPort);
    if (Target < 0)
      return;
    std::thread Back([&] { pump(Target, Client); });
    pump(Client, Target);
    Back.join();
    close(Target);
  }

  static bool hasEnded(int Socket) {
    pollfd Entry{Socket, POLLRDHUP, 0};
    return poll(&Entry, 1, 0) > 0 &&
           (Entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  void pump(int From, int To) {
    char Bytes[65536];
    while (!IsStopping) {
      if (IsCut) {
        std::this_thread::sleep_for(2ms);
        continue;
      }
      if (!waitReadable(From, clock::now() + 10ms))
        continue;
      // The cut may have begun during the wait.
      if (IsCut)
        continue;
      ssize_t Count = recv(From, Bytes, sizeof(Bytes), 0);
      bool IsReset = Count < 0;
      if (IsReset) {
        shutdown(To, SHUT_RDWR);
        return;
      }
      if (Count == 0) {
        shutdown(To, SHUT_WR);
        return;
      }
      if (!sendAll(To, {Bytes, static_cast<std::size_t>(Count)})) {
        shutdown(From, SHUT_RDWR);
        return;
      }
    }
    shutdown(From, SHUT_RDWR);
    shutdown(To, SHUT_RDWR);
  }

  int TargetPort;
  std::atomic<bool> IsCut{false};
  std::atomic<bool> IsStopping{false};
  server Port;
};

} // namespace review

#endif
