#include "radishrelay/daemon/listening_socket.h"

#include "radishrelay/base/log.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace radishrelay::daemon {

namespace {

constexpr int Backlog = 256;

int listenOn(const std::string &Address) {
  Poco::Net::SocketAddress BindAddress(Address);
  int Socket =
      socket(BindAddress.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int Reuse = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Reuse, sizeof(Reuse));
  if (bind(Socket, BindAddress.addr(), BindAddress.length()) != 0 ||
      listen(Socket, Backlog) != 0) {
    int Code = errno;
    close(Socket);
    throw Poco::Net::NetException("cannot listen on " + Address, Code);
  }
  return Socket;
}

int openSpare() { return eventfd(0, EFD_CLOEXEC); }

bool isOutOfDescriptors(int Code) { return Code == EMFILE || Code == ENFILE; }

} // namespace

listening_socket::listening_socket(const std::string &Address)
    : Descriptor(listenOn(Address)), Spare(openSpare()) {}

listening_socket::~listening_socket() {
  close(Descriptor);
  if (Spare >= 0)
    close(Spare);
}

int listening_socket::accept() {
  while (true) {
    int Accepted =
        accept4(Descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Accepted >= 0) {
      IsExhausted = false;
      return Accepted;
    }
    if (errno == EINTR || errno == ECONNABORTED)
      continue;
    if (!isOutOfDescriptors(errno) || !closePending())
      return -1;
  }
}

bool listening_socket::closePending() {
  if (!IsExhausted)
    base::logEvent(base::log_level::Warning,
                   "connections closed: no descriptor left",
                   {{"step", "accept connection"}});
  IsExhausted = true;
  if (Spare >= 0)
    close(Spare);
  int Pending =
      accept4(Descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (Pending >= 0)
    close(Pending);
  Spare = openSpare();
  return Pending >= 0;
}

} // namespace radishrelay::daemon
