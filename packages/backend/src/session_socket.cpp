#include "session_socket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace radishrelay::backend::detail {

namespace {

constexpr std::size_t ReadSize = 64 << 10U;

bool wouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

} // namespace

session_socket::~session_socket() { close(Fd); }

bool session_socket::receive(std::string &Record) {
  std::array<char, ReadSize> Buffer; // NOLINT: filled by recv
  while (true) {
    ssize_t Size = recv(Fd, Buffer.data(), Buffer.size(), 0);
    if (Size == 0)
      return false;
    if (Size < 0)
      return wouldBlock();
    auto Count = static_cast<std::size_t>(Size);
    Input.append(Buffer.data(), Count);
    Record.append(Buffer.data(), Count);
    if (Count < Buffer.size())
      return true;
  }
}

void session_socket::consume(std::size_t Size) {
  Consumed += Size;
  if (Consumed == Input.size())
    dropInput();
}

void session_socket::dropInput() {
  Input.clear();
  Consumed = 0;
}

void session_socket::queue(std::string Bytes, base::time_point Due) {
  if (!Answers.empty() && Answers.back().Due > Due)
    Due = Answers.back().Due;
  Answers.push_back({std::move(Bytes), Due});
}

bool session_socket::send(base::time_point Now) {
  while (!Answers.empty() && Answers.front().Due <= Now) {
    Unsent += Answers.front().Bytes;
    Answers.pop_front();
  }
  if (Unsent.empty())
    return true;
  ssize_t Size = ::send(Fd, Unsent.data(), Unsent.size(), MSG_NOSIGNAL);
  if (Size < 0)
    return wouldBlock();
  Unsent.erase(0, static_cast<std::size_t>(Size));
  return true;
}

std::optional<base::time_point> session_socket::nextDue() const {
  if (Answers.empty())
    return std::nullopt;
  return Answers.front().Due;
}

} // namespace radishrelay::backend::detail
