#include "listening_port.h"

#include <Poco/Net/SocketAddress.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace radishrelay::backend::detail {

namespace {

constexpr int Backlog = 1024;

} // namespace

listening_port::listening_port(std::uint16_t Port) {
  Reservation.bind(Poco::Net::SocketAddress("127.0.0.1", Port), true);
  open();
}

std::string listening_port::address() const {
  return Reservation.address().toString();
}

void listening_port::open() {
  Listener.emplace();
  Listener->bind(Reservation.address(), true);
  Listener->listen(Backlog);
  Listener->setBlocking(false);
}

int listening_port::accept() const {
  int Fd = accept4(fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  int On = 1;
  if (Fd >= 0)
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Fd;
}

} // namespace radishrelay::backend::detail
