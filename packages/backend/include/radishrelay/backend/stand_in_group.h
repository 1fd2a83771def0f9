#ifndef RADISHRELAY_BACKEND_STAND_IN_GROUP_H
#define RADISHRELAY_BACKEND_STAND_IN_GROUP_H

#include "radishrelay/backend/stand_in_options.h"
#include "radishrelay/backend/stand_in_report.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace radishrelay::backend {

/// A replicated database group in one process, for tests and measurements.
///
/// Each instance listens on 127.0.0.1 and speaks the server side of the
/// PostgreSQL protocol 3.0 over SQLite in-memory databases. One thread runs
/// the whole group. Instance 0 starts as the primary of term 1. All methods
/// may be called from any thread; faults are in force when the call returns.
class stand_in_group {
public:
  /// Starts listening. Throws Poco::Exception when a port is taken and
  /// std::invalid_argument when a schema statement fails.
  explicit stand_in_group(const stand_in_options &Options);

  /// Closes all connections and waits for the thread.
  ~stand_in_group();

  stand_in_group(const stand_in_group &) = delete;
  stand_in_group &operator=(const stand_in_group &) = delete;

  [[nodiscard]] std::size_t size() const;
  /// "127.0.0.1:PORT".
  [[nodiscard]] std::string address(std::size_t Instance) const;

  /// Closes all connections of the instance and refuses new ones. Its log
  /// remains.
  void kill(std::size_t Instance);
  /// Ends the effect of kill().
  void revive(std::size_t Instance);
  /// Cuts the instance off from the other instances, not from clients.
  void setCut(std::size_t Instance, bool IsCut);
  /// Present connections are still read from and never answered again.
  void silence(std::size_t Instance);
  /// Delays all answers, also those of new connections.
  void delayAnswers(std::size_t Instance, base::duration Delay);
  /// Closes the connection of the next commit after it took effect and before
  /// it is answered.
  void loseNextCommitAnswer(std::size_t Instance);
  /// Age at which a log entry reaches the instance.
  void setLag(std::size_t Instance, base::duration Lag);
  void setServiceTime(std::size_t Instance, base::duration Time);

  [[nodiscard]] std::vector<stand_in_report> reports() const;
  /// Bytes that clients have sent to the instance, up to the limit.
  [[nodiscard]] std::string recordedBytes(std::size_t Instance) const;
  /// Runs a query on the committed data of the instance, past all faults.
  /// Throws std::invalid_argument when the query fails.
  [[nodiscard]] result_set query(std::size_t Instance,
                                 const statement &Query) const;

  using report_predicate =
      std::function<bool(const std::vector<stand_in_report> &)>;
  /// Waits until \p Predicate holds; false when \p Deadline passed first. It
  /// is called on the group's thread after each change.
  [[nodiscard]] bool waitUntil(report_predicate Predicate,
                               base::time_point Deadline) const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace radishrelay::backend

#endif
