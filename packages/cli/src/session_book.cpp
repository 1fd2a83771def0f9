#include "session_book.h"

namespace radishrelay::cli {

session_state session_book::stateOf(std::size_t Session) const {
  std::lock_guard Guard(Mutex);
  return States[Session];
}

void session_book::endWrite(std::size_t Session, const std::string &Token,
                            const std::string &Id) {
  std::lock_guard Guard(Mutex);
  session_state &State = States[Session];
  State = {Token, Id, State.Changes + 1};
}

void session_book::endRead(std::size_t Session, const std::string &Token,
                           std::uint64_t ChangesWhenSent) {
  std::lock_guard Guard(Mutex);
  session_state &State = States[Session];
  if (State.Changes != ChangesWhenSent || Token.empty())
    return;
  State.Token = Token;
  ++State.Changes;
}

} // namespace radishrelay::cli
