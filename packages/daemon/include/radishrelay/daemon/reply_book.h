#ifndef RADISHRELAY_DAEMON_REPLY_BOOK_H
#define RADISHRELAY_DAEMON_REPLY_BOOK_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/daemon/relay_event.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace radishrelay::daemon {

/// Lets a server thread wait for the decision thread's reply to a call.
template <typename Reply> class reply_book {
public:
  /// Registers a call; its reply is kept until it is taken or given up.
  reply_id open() {
    std::lock_guard Guard(Mutex);
    reply_id Id = ++Last;
    Replies.emplace(Id, std::nullopt);
    return Id;
  }

  /// Replies to calls that were given up are dropped.
  void reply(reply_id Id, Reply &&Content) {
    std::lock_guard Guard(Mutex);
    auto Found = Replies.find(Id);
    if (Found == Replies.end())
      return;
    Found->second = std::move(Content);
    Arrived.notify_all();
  }

  /// Waits for the reply until \p Deadline and closes the call.
  std::optional<Reply> take(reply_id Id, base::time_point Deadline) {
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
