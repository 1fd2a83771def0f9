#include "radishrelay/daemon/platform_threads.h"

#include "radishrelay/tables/table_client.h"

namespace radishrelay::daemon {

namespace {

constexpr auto IdleWait = std::chrono::seconds(1);

std::optional<platform_event> execute(tables::table_client &Client,
                                      const platform_request &Request) {
  if (auto *Store = std::get_if<base::store_request>(&Request.Request))
    return store_finished{Request.Duty, Request.Id,
                          Client.execute(*Store, Request.Deadline)};
  auto Hosts = Client.readHosts(Request.Deadline);
  if (!Hosts)
    return std::nullopt;
  return host_list_read{std::move(*Hosts)};
}

} // namespace

platform_threads::platform_threads(const std::string &Address,
                                   platform_sink Sink)
    : Address(Address), Sink(std::move(Sink)) {
  for (lane &Lane : Lanes)
    Lane.Thread = std::thread([this, &Lane] { run(Lane); });
}

platform_threads::~platform_threads() { stop(); }

bool platform_threads::submit(platform_request &&Request) {
  auto Index = static_cast<std::size_t>(Request.Duty);
  return Lanes.at(Index).Requests.tryPush(std::move(Request));
}

void platform_threads::stop() {
  for (lane &Lane : Lanes)
    Lane.Requests.close();
  for (lane &Lane : Lanes)
    if (Lane.Thread.joinable())
      Lane.Thread.join();
}

void platform_threads::run(lane &Lane) const {
  tables::table_client Client(Address);
  while (true) {
    auto Request =
        Lane.Requests.popUntil(base::monotonic_clock::now() + IdleWait);
    if (Request) {
      if (auto Event = execute(Client, *Request))
        Sink(std::move(*Event));
    } else if (Lane.Requests.closed()) {
      return;
    }
  }
}

} // namespace radishrelay::daemon
