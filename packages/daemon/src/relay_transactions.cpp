#include "radishrelay/daemon/relay.h"

namespace radishrelay::daemon {

void relay::runInTransaction(caller_request &&Request) {
  request_task_ptr Task(new request_task(++LastTask, std::move(Request)));
  if (!decodeSession(*Task))
    return;
  TasksByCaller[Task->Request.Connection] = Task;
  Transactions.submit(Task, Now);
}

void relay::acceptForwarded(const peer_call_received &Event) {
  if (std::optional<caller_request> Request =
          Forwarder.accept(Event, View, Now))
    runInTransaction(std::move(*Request));
}

std::optional<std::string>
relay::addressOfHost(const base::host_id &Host) const {
  return Fleet.addressOf(Host);
}

bool relay::forwardToHost(const base::host_id &Host,
                          const request_task_ptr &Task) {
  std::optional<std::string> Address = addressOfHost(Host);
  return Address && Forwarder.send(*Address, Task, Now);
}

group_runtime *relay::findGroup(const base::group_id &Group) {
  auto Found = Groups.find(Group);
  return Found == Groups.end() ? nullptr : Found->second.Runtime.get();
}

} // namespace radishrelay::daemon
