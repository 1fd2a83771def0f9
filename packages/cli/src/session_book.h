#ifndef RADISHRELAY_CLI_SRC_SESSION_BOOK_H
#define RADISHRELAY_CLI_SRC_SESSION_BOOK_H

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace radishrelay::cli {

/// What a session knows when it sends a request.
struct session_state {
  std::string Token;
  /// Row of an acknowledged write that \c Token covers.
  std::string LastWrite;
  /// Number of changes of the state.
  std::uint64_t Changes = 0;

  friend bool operator==(const session_state &,
                         const session_state &) = default;
};

/// The sessions of a run; may be used by all workers.
///
/// Requests of one session overlap. Its token is replaced together with the
/// write that it covers, and a read's token is kept only if no other request of
/// the session has ended since the read was sent. So the token always covers
/// LastWrite.
class session_book {
public:
  explicit session_book(std::size_t Sessions) : States(Sessions) {}

  [[nodiscard]] session_state stateOf(std::size_t Session) const;
  void endWrite(std::size_t Session, const std::string &Token,
                const std::string &Id);
  void endRead(std::size_t Session, const std::string &Token,
               std::uint64_t ChangesWhenSent);

private:
  mutable std::mutex Mutex;
  std::vector<session_state> States;
};

} // namespace radishrelay::cli

#endif
