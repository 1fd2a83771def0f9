// Clients that write without a break, each a new text, and note which writes
// were answered with success.
#ifndef REVIEW_STAND_INS_3_WRITING_CLIENTS_H
#define REVIEW_STAND_INS_3_WRITING_CLIENTS_H

#include "platform.hh"

#include <atomic>
#include <thread>

namespace review {

class writing_clients {
public:
  /// Starts a client of a daemon; its texts begin with \p Name.
  void start(const daemon_process &Daemon, const std::string &Name);
  void stop();
  /// Texts answered before, or from, \p Time on, in milliseconds since the
  /// start.
  std::set<std::string> answeredBefore(double Time);
  std::set<std::string> answeredFrom(double Time);

private:
  void write(const daemon_process &Daemon, const std::string &Name);

  std::mutex Mutex;
  std::map<std::string, double> Answered;
  std::atomic<bool> IsOver = false;
  std::vector<std::thread> Threads;
};

/// Writes until a write is served, for up to 30 s.
bool isServed(const daemon_process &Daemon);

} // namespace review

#endif
