#include "radishrelay/daemon/platform_threads.h"

#include "radishrelay/tables/table_client.h"

namespace radishrelay::daemon {

namespace {

/// Interval at which an idle thread checks whether it must stop.
constexpr auto IdleWait = std::chrono::seconds(1);

std::optional<platform_event> execute(tables::table_client &Client,
                                      const platform_request &Request) {
  if (auto *Store = std::get_if<base::store_request>(&Request.Request))
    return store_finished{Request.Channel, Request.Id,
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
  for (worker &Worker : Workers)
    Worker.Thread = std::thread([this, &Worker] { run(Worker); });
}

platform_threads::~platform_threads() { stop(); }

bool platform_threads::submit(platform_request &&Request) {
  auto Index = static_cast<std::size_t>(Request.Channel);
  return Workers.at(Index).Requests.tryPush(std::move(Request));
}

void platform_threads::stop() {
  for (worker &Worker : Workers)
    Worker.Requests.close();
  for (worker &Worker : Workers)
    if (Worker.Thread.joinable())
      Worker.Thread.join();
}

void platform_threads::run(worker &Worker) const {
  tables::table_client Client(Address);
  while (true) {
    auto Request =
        Worker.Requests.popUntil(base::monotonic_clock::now() + IdleWait);
    if (Request) {
      if (auto Event = execute(Client, *Request))
        Sink(std::move(*Event));
    } else if (Worker.Requests.closed()) {
      return;
    }
  }
}

} // namespace radishrelay::daemon
