#ifndef RADISHRELAY_DAEMON_READINESS_SET_H
#define RADISHRELAY_DAEMON_READINESS_SET_H

#include <cstdint>
#include <vector>

namespace radishrelay::daemon {

/// I/O events for which a descriptor is watched.
enum class readiness : std::uint32_t {
  /// Errors and the end of the connection, which every value includes.
  None = 0,
  Read = 1,
  Write = 2,
  ReadWrite = 3,
};

/// A descriptor that became ready, identified by the tag given to
/// readiness_set::add(). After an error or the end of the connection it is
/// readable.
struct ready_descriptor {
  std::uint64_t Tag = 0;
  bool Readable = false;
  bool Writable = false;
};

/// Waits for I/O on many descriptors and for a wake-up by another thread.
/// Throws std::system_error when a descriptor cannot be created or registered.
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

  /// Ends the current or the next wait early. May be called from any thread.
  void wakeUp();

  /// Waits at most \p TimeoutMilliseconds, or without limit if negative. The
  /// result is valid until the next call of wait().
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
