#ifndef RADISHRELAY_BACKEND_SRC_STAND_IN_INSTANCE_H
#define RADISHRELAY_BACKEND_SRC_STAND_IN_INSTANCE_H

#include "instance_context.h"
#include "listening_port.h"
#include "poller.h"
#include "stand_in_session.h"

#include <memory>
#include <set>
#include <unordered_map>

namespace radishrelay::backend::detail {

/// One instance of the group: its port, sessions, timers and faults.
class stand_in_instance {
public:
  /// \p Index distinguishes the poller keys of the instances.
  stand_in_instance(const stand_in_options &Options, std::size_t Index,
                    poller &Poller);
  ~stand_in_instance();

  [[nodiscard]] static std::size_t indexOfKey(std::uint64_t Key);

  void onReady(const epoll_event &Event, base::time_point Now);
  /// Continues the sessions whose time has come or that were admitted.
  void proceed(base::time_point Now);
  [[nodiscard]] std::optional<base::time_point> wakeAt() const;
  [[nodiscard]] stand_in_report report(base::time_point Now) const;

  /// Follows \p Primary; ends the open write transaction of a former primary.
  void follow(const stand_in_instance &Primary, base::time_point Now);
  [[nodiscard]] bool isReachable() const { return IsAlive && !IsCut; }

  void kill();
  void revive();
  void silence();

  instance_context Context;
  listening_port Port;
  base::duration Lag;
  bool IsCut = false;
  std::string Record;

private:
  struct entry {
    std::unique_ptr<stand_in_session> Session;
    std::optional<base::time_point> WakeAt;
    bool PollsOutput = false;
  };
  using entry_map = std::unordered_map<session_id, entry>;

  [[nodiscard]] std::uint64_t keyOf(session_id Id) const;
  void acceptAll();
  void settle(entry_map::iterator Place);
  void close(entry_map::iterator Place);
  void trimRecord();
  void cancel(session_id Id, std::uint32_t Secret);

  std::size_t Index;
  poller &Poller;
  std::size_t RecordLimit;
  bool IsAlive = true;
  session_id LastId = 0;
  entry_map Sessions;
  std::set<std::pair<base::time_point, session_id>> Timers;
};

} // namespace radishrelay::backend::detail

#endif
