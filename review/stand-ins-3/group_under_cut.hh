// A database group whose instances can be cut off from single daemons, and to
// which replicas can be added. Each daemon has a front of the store of its own,
// which lists the instances under addresses for this daemon alone, so that the
// path between one daemon and one instance can be cut.
#ifndef REVIEW_STAND_INS_3_GROUP_UNDER_CUT_H
#define REVIEW_STAND_INS_3_GROUP_UNDER_CUT_H

#include "platform.hh"

#include <chrono>
#include <memory>

namespace review {

class group_under_cut {
public:
  group_under_cut(std::string Service, store &Store, std::size_t Daemons)
      : Service(std::move(Service)), Store(Store), Daemons(Daemons) {}

  /// Adds an instance; the first one is the primary. It receives the log at
  /// once and checks in for the first time after \p CheckInDelay, then each
  /// 1,200 ms.
  std::string add(const std::string &Zone,
                  std::chrono::milliseconds CheckInDelay);
  void setDraining(const std::string &Id);
  /// Ends an instance: its log is gone, and its entry.
  void remove(const std::string &Id);
  /// Holds up all bytes between a daemon and an instance, or ends that.
  void setCut(std::size_t Daemon, const std::string &Id, bool IsCut);
  /// Holds up the log between two instances, or ends that.
  void setDeaf(const std::string &From, const std::string &To, bool IsDeaf);
  /// Number of acknowledged writes whose text \p Texts holds that the instance
  /// promoted last did not have when it took over.
  std::vector<std::string> missing(const std::set<std::string> &Texts);
  int promote(const std::string &Id);
  const std::string &service() const { return Service; }
  /// Milliseconds since the start at which the last promotion took effect; 0 if
  /// there was none.
  double promotedAt();
  std::string promotedId();
  /// Texts of the writes that an earlier primary committed after that.
  std::set<std::string> committedLate();
  int SyncReplicas = 1;
  int WorkMs = 5;

private:
  struct instance {
    std::string Id, Zone;
    bool IsPrimary = false, IsDraining = false, IsGone = false;
    std::uint64_t Term = 1, Held = 0, Sequence = 0;
    std::vector<std::string> Log;
    std::vector<std::unique_ptr<server>> Fronts;
    std::set<std::size_t> Cut;
    std::set<int> Sockets;
    std::int64_t Born = 0;
    position end() const { return {Term, 1000 + Log.size()}; }
  };
  struct session {
    bool IsStarted = false;
    std::string Tenant;
    char Phase = 'I';
    bool IsReadOnly = false;
    std::vector<std::string> Writes;
    std::map<std::string, std::string> Prepared;
  };

  void serve(instance &Instance, std::size_t Daemon, int Socket);
  void talk(instance &Instance, std::size_t Daemon, int Socket);
  void awaitPath(const instance &Instance, std::size_t Daemon);
  std::string query(instance &Instance, session &Session, std::string Fields);
  std::string end(const instance &Instance, const session &Session) const;
  std::string fail(const instance &Instance, session &Session,
                   const std::string &Code) const;
  bool commit(std::unique_lock<std::mutex> &Lock, instance &Instance,
              const std::vector<std::string> &Writes);
  void replicate();
  void checkIn(instance &Instance);
  instance &of(const std::string &Id);

  std::string Service;
  store &Store;
  std::size_t Daemons;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<std::unique_ptr<instance>> Instances;
  std::set<std::pair<std::string, std::string>> Deaf;
  std::uint64_t Receipts = 0;
  std::uint64_t LeaderTerm = 1;
  double PromotedAt = 0;
  std::string PromotedId;
  std::vector<std::string> PromotedLog;
  std::set<std::string> CommittedLate;
};

} // namespace review

#endif
