#ifndef RADISHRELAY_BACKEND_SRC_SESSION_SOCKET_H
#define RADISHRELAY_BACKEND_SRC_SESSION_SOCKET_H

#include "radishrelay/base/monotonic_clock.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace radishrelay::backend::detail {

/// A client's socket with its input buffer and answers that wait to be sent.
class session_socket {
public:
  /// Takes ownership of \p Fd.
  explicit session_socket(int Fd) : Fd(Fd) {}
  ~session_socket();
  session_socket(const session_socket &) = delete;
  session_socket &operator=(const session_socket &) = delete;

  [[nodiscard]] int fd() const { return Fd; }

  /// Reads what has arrived; appends it also to \p Record. Returns false at
  /// the end of the connection.
  bool receive(std::string &Record);
  [[nodiscard]] std::string_view input() const {
    return std::string_view(Input).substr(Consumed);
  }
  void consume(std::size_t Size);
  void dropInput();

  /// Sends \p Bytes at \p Due, after those of earlier calls.
  void queue(std::string Bytes, base::time_point Due);
  /// Sends what is due. Returns false when the connection is lost.
  bool send(base::time_point Now);
  /// True when the socket has to become writable first.
  [[nodiscard]] bool isBlocked() const { return !Unsent.empty(); }
  [[nodiscard]] std::optional<base::time_point> nextDue() const;

private:
  struct answer {
    std::string Bytes;
    base::time_point Due;
  };

  int Fd;
  std::string Input;
  std::size_t Consumed = 0;
  std::deque<answer> Answers;
  std::string Unsent;
};

} // namespace radishrelay::backend::detail

#endif
