#ifndef RADISHRELAY_SESSIONS_TESTS_SUPPORT_SIMULATED_GROUP_H
#define RADISHRELAY_SESSIONS_TESTS_SUPPORT_SIMULATED_GROUP_H

#include "event_queue.h"
#include "simulated_network.h"
#include "simulated_receipts.h"

#include "radishrelay/base/random_generator.h"
#include "radishrelay/sessions/backend_reply.h"
#include "radishrelay/sessions/backend_request.h"
#include "radishrelay/sessions/instance_listing.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace radishrelay::sessions::tests {

/// A committed write in the log of an instance.
struct simulated_commit {
  groups::term_number Term = 0;
  std::uint64_t Write = 0;

  friend bool operator==(const simulated_commit &,
                         const simulated_commit &) = default;
};

/// Shares of its answers that an instance sends twice.
struct stutter_shares {
  /// Answers to what clients have sent, and to BEGIN and ROLLBACK.
  double Statements = 0;
  /// Answers to Status, Fence, Demote and Unfence.
  double Control = 0;

  friend bool operator==(const stutter_shares &,
                         const stutter_shares &) = default;
};

/// State of one simulated instance.
struct simulated_instance {
  instance_listing Listing;
  groups::instance_role Role = groups::instance_role::Replica;
  groups::term_number Term = 1;
  groups::term_number FencedTerm = 0;
  std::vector<simulated_commit> Log;
  bool IsRunning = true;
  /// Number of starts; connections and deliveries of an earlier run are void.
  std::uint64_t Run = 1;
  /// Time of its first report to the store.
  base::time_point FirstReportAt;
  /// Until when the instance reports itself cold.
  base::time_point ColdUntil;
  /// Arrivals of statements while it was cold, in the last second.
  std::deque<base::time_point> ColdArrivals;
  /// Until then the instance receives no log entries.
  base::time_point DeafUntil;
  /// Until then the instance sends a share of its answers twice.
  base::time_point StuttersUntil;
  stutter_shares StutterShares;
  /// Since when an old primary has reached the new one.
  std::optional<base::time_point> SuccessorReachedAt;
};

/// A promise that was broken in a simulation.
struct broken_promise {
  base::time_point At;
  std::string Text;
};

/// Database group that follows the rules of the users' platform: a commit is
/// acknowledged once any replica has received it, a promoted instance leads
/// with what it had received and nothing more, and a replica that leaves takes
/// its log along. Checks the promises that instances can see.
class simulated_group {
public:
  /// Returns whether the connection on which the instance replies is open.
  using reply_function = std::function<bool(const backend_reply &)>;

  simulated_group(event_queue &Queue, simulated_network &Network,
                  base::random_generator &Random, const std::string &Name);

  [[nodiscard]] const base::group_id &id() const { return Group; }
  /// Starts an instance with an empty log in \p Domain.
  base::instance_id add(const std::string &Domain);
  [[nodiscard]] const std::map<base::instance_id, simulated_instance> &
  instances() const {
    return Instances;
  }
  simulated_instance &instance(const base::instance_id &Id) {
    return Instances.at(Id);
  }
  /// The instance that the platform has promoted last.
  [[nodiscard]] const base::instance_id &leader() const { return Leader; }

  /// Executes a request that has reached \p Id on connection \p Connection of a
  /// host. \p Reply is called once the instance answers, which may be never.
  void execute(const base::instance_id &Id, const std::string &Connection,
               const backend_request &Request, const reply_function &Reply);
  void endConnection(const std::string &Connection) {
    Transactions.erase(Connection);
  }
  /// Checks that \p Host orders promotions alone and with a generation number
  /// that is not below earlier ones.
  void recordOrder(const std::string &Host, std::uint64_t Generation);
  /// Orders a promotion. Returns false if the instance is not running.
  bool promote(const base::instance_id &Id);

  void crash(const base::instance_id &Id);
  /// Starts a crashed instance with the log that it had.
  void restart(const base::instance_id &Id);
  /// Ends an instance for good. Its log is gone.
  void end(const base::instance_id &Id);
  /// Lets an instance send \p Shares of its answers twice until \p Until, and
  /// refuse some requests as busy.
  void stutter(const base::instance_id &Id, const stutter_shares &Shares,
               base::time_point Until);
  /// Draws whether \p Id sends an answer to \p Verb a second time, and how much
  /// later.
  std::optional<base::duration> drawSecondAnswer(const base::instance_id &Id,
                                                 backend_verb Verb);
  /// Instances that start from now on report to the store for the first time
  /// up to \p Time after their start.
  void setMaxReportDelay(base::duration Time) { MaxReportDelay = Time; }
  /// Number of replicas that have to receive a commit before it is
  /// acknowledged: 0 or 1.
  void setSyncReplicas(int Count) { SyncReplicas = Count; }
  /// Instances that start from now on report themselves cold for \p Time.
  void setColdTime(base::duration Time) { ColdTime = Time; }
  /// Records a statement that reaches \p Id. Returns how many have reached it
  /// in the last second, 0 if it does not report itself cold.
  std::size_t countColdArrival(const base::instance_id &Id);
  void setDraining(const base::instance_id &Id) {
    Instances.at(Id).Listing.Draining = true;
  }

  /// Records that a client was told that \p Write had no effect.
  void recordRefused(std::uint64_t Write);
  /// Records that a client was told that \p Write was committed.
  void recordSucceeded(std::uint64_t Write);
  /// Records that a client was told that the read, write or commit \p Id has
  /// succeeded.
  void recordSuccess(const std::string &Id, const client_answer &Answer);
  /// Records that a client got an answer without having sent a statement.
  void recordUnasked(const std::string &Client) {
    recordBroken(Client + " was answered without a statement");
  }
  /// Records a promise that something else than the group found broken.
  void recordOther(const std::string &Text) { recordBroken(Text); }
  [[nodiscard]] const std::vector<broken_promise> &broken() const {
    return Broken;
  }
  [[nodiscard]] std::uint64_t acknowledgedCommits() const {
    return Acknowledged.size();
  }
  [[nodiscard]] std::uint64_t promotions() const { return Promotions; }
  /// Reports each promotion and crash; for the trace of a failed schedule.
  std::function<void(const std::string &)> Trace;

private:
  struct waiting_commit {
    std::size_t LogSize = 0;
    std::uint64_t Run = 0;
    groups::term_number Term = 0;
    base::instance_id Primary;
    backend_reply Reply;
    reply_function Answer;
  };
  struct acknowledged_commit {
    base::time_point At;
    std::size_t LogSize = 0;
    std::uint64_t Write = 0;
  };

  [[nodiscard]] bool receives(const simulated_instance &Primary,
                              const simulated_instance &Replica) const;
  [[nodiscard]] bool holds(const simulated_instance &Instance,
                           const acknowledged_commit &Commit) const;
  void commit(simulated_instance &Primary, std::uint64_t Write,
              backend_reply Reply, reply_function Answer);
  void replicate(const simulated_instance &Primary);
  void deliver(const base::instance_id &From, std::uint64_t FromRun,
               const base::instance_id &To, std::uint64_t ToRun,
               std::size_t LogSize);
  void acknowledge(const base::instance_id &Primary, std::uint64_t Run,
                   groups::term_number Term, std::size_t LogSize);
  void recordAcknowledged(acknowledged_commit Commit);
  /// Forgets commits that \p Leader lacks, which a group without synchronous
  /// replicas may lose in a promotion.
  void forgetRolledBack(const simulated_instance &Leader);
  void takeEffect(const base::instance_id &Id);
  void checkRead(const simulated_instance &Instance, base::time_point Since);
  /// Draws whether a stuttering instance refuses a request as busy.
  bool refusesAsBusy(const simulated_instance &Instance,
                     const backend_request &Request, bool IsInTransaction);
  void tick();
  void recordBroken(const std::string &Text) {
    Broken.push_back({Queue.now(), Text});
  }
  [[nodiscard]] backend_reply statusReply(const simulated_instance &Instance,
                                          session_phase Phase) const;
  void runStatement(simulated_instance &Instance, const std::string &Connection,
                    const backend_request &Request,
                    const reply_function &Reply);

  event_queue &Queue;
  simulated_network &Network;
  base::random_generator &Random;
  base::group_id Group;
  std::map<base::instance_id, simulated_instance> Instances;
  base::instance_id Leader;
  groups::term_number LeaderTerm = 1;
  struct promotion_order_record {
    std::string Host;
    std::uint64_t Generation = 0;
    base::time_point At;
  };
  promotion_order_record LastOrder;
  std::uint64_t LastInstance = 0;
  base::duration ColdTime{};
  base::duration MaxReportDelay{};
  int SyncReplicas = 1;
  std::uint64_t Promotions = 0;
  /// Open transactions by connection, with the write that each has made.
  std::map<std::string, std::uint64_t> Transactions;
  simulated_receipts Receipts;
  std::vector<waiting_commit> Waiting;
  /// Commits that clients were told of, in that order.
  std::vector<acknowledged_commit> Acknowledged;
  /// Length of the log at the commit of each write that an instance has
  /// answered.
  std::map<std::uint64_t, std::size_t> AnsweredWrites;
  /// For each entry of Acknowledged, the commit up to it with the longest log.
  std::vector<std::size_t> Longest;
  std::set<std::uint64_t> Refused;
  std::set<std::uint64_t> Committed;
  /// Writes acknowledged by a primary after it was replaced.
  std::set<std::uint64_t> AcknowledgedLate;
  std::vector<broken_promise> Broken;
};

/// The groups of a simulated fleet.
class simulated_groups {
public:
  simulated_group &add(std::unique_ptr<simulated_group> Group) {
    return *All.emplace_back(std::move(Group));
  }
  /// The group of an instance that was added to one of them.
  [[nodiscard]] simulated_group &of(const base::instance_id &Id) const;
  [[nodiscard]] simulated_group &first() const { return *All.front(); }
  [[nodiscard]] const std::vector<std::unique_ptr<simulated_group>> &
  all() const {
    return All;
  }

private:
  std::vector<std::unique_ptr<simulated_group>> All;
};

/// Position of the end of an instance's log.
groups::log_position endOfLog(const simulated_instance &Instance);

} // namespace radishrelay::sessions::tests

#endif
