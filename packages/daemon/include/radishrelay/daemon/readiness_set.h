#ifndef RADISHRELAY_DAEMON_READINESS_SET_H
#define RADISHRELAY_DAEMON_READINESS_SET_H

#include <cstdint>
#include <vector>

namespace radishrelay::daemon {

/// What a descriptor is watched for, or ready for.
enum class readiness : std::uint32_t {
  /// Only for errors and the end of the connection.
  None = 0,
  Read = 1,
  Write = 2,
  ReadWrite = 3,
};

/// A descriptor that became ready, named by the tag it was added with.
struct ready_descriptor {
  std::uint64_t Tag = 0;
  bool Readable = false;
  bool Writable = false;
};

/// Waits for many descriptors and for a wake-up by another thread.
///
/// Poco::Net::PollSet of POCO 1.11 has no wake-up and builds a map of sockets
/// per wait, so this uses epoll and an eventfd.
class readiness_set {
public:
  readiness_set();
  ~readiness_set();
  readiness_set(const readiness_set &) = delete;
  readiness_set &operator=(const readiness_set &) = delete;

  void add(int Descriptor, std::uint64_t Tag, readiness Watched);
  void change(int Descriptor, std::uint64_t Tag, readiness Watched);
  void remove(int Descriptor);

  /// Ends a wait early; may be called from any thread.
  void wakeUp();

  /// Waits at most \p TimeoutMilliseconds, or without limit if negative. The
  /// result is valid until the next call.
  const std::vector<ready_descriptor> &wait(int TimeoutMilliseconds);

private:
  void control(int Operation, int Descriptor, std::uint64_t Tag,
               readiness Watched);
  void drainWakeUps();

  int Epoll = -1;
  int WakeUp = -1;
  std::vector<ready_descriptor> Ready;
};

} // namespace radishrelay::daemon

#endif
