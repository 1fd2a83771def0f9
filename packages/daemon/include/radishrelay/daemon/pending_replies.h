#ifndef RADISHRELAY_DAEMON_PENDING_REPLIES_H
#define RADISHRELAY_DAEMON_PENDING_REPLIES_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/daemon/relay_event.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace radishrelay::daemon {

/// Calls that wait for a reply of the decision thread. A server thread adds a
/// call and waits for its reply; the decision thread delivers it.
template <typename Reply> class pending_replies {
public:
  /// Adds a call. The caller must wait for its reply with waitFor().
  reply_id add() {
    std::lock_guard Guard(Mutex);
    reply_id Id = ++Last;
    Replies.emplace(Id, std::nullopt);
    return Id;
  }

  /// Stores the reply to a call and wakes its thread. Drops the reply when the
  /// wait has already ended.
  void deliver(reply_id Id, Reply &&Content) {
    std::lock_guard Guard(Mutex);
    auto Found = Replies.find(Id);
    if (Found == Replies.end())
      return;
    Found->second = std::move(Content);
    Arrived.notify_all();
  }

  /// Waits for the reply until \p Deadline and removes the call. Returns
  /// nothing when no reply has come by then.
  std::optional<Reply> waitFor(reply_id Id, base::time_point Deadline) {
    std::unique_lock Lock(Mutex);
    Arrived.wait_for(Lock, Deadline - base::monotonic_clock::now(),
                     [&] { return Replies.at(Id).has_value(); });
    std::optional<Reply> Content = std::move(Replies.at(Id));
    Replies.erase(Id);
    return Content;
  }

private:
  std::mutex Mutex;
  std::condition_variable Arrived;
  std::map<reply_id, std::optional<Reply>> Replies;
  reply_id Last = 0;
};

} // namespace radishrelay::daemon

#endif
