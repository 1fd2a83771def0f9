/// \file
/// A database whose instances can be cut off from daemons and from each other,
/// and whose replicas may receive nothing for a while.
#ifndef REVIEW_STAND_INS_2_REPLICATED_HH
#define REVIEW_STAND_INS_2_REPLICATED_HH

#include "deployment.hh"

#include <set>

namespace review2 {

class replicated_database {
public:
  struct commit {
    int Term;
    std::string Item;
    std::string Data;
    friend bool operator==(const commit &, const commit &) = default;
  };
  struct instance {
    std::string Id;
    std::string Zone;
    int Port = 0;
    bool IsPrimary = false;
    int Term = 1;
    int Held = 0;
    bool IsDeaf = false;
    int Busy = 0;
    std::vector<commit> Log;
    /// Views of the platform, and so daemons, that are cut off from it.
    std::set<std::size_t> CutViews;
    /// A crashed instance is dark and comes back with its log.
    bool IsDown = false;
    int MissedCheckIns = 0;
    /// Since when it reaches a primary of a later term.
    std::optional<clock::time_point> ReplacedSince;
  };
  static constexpr int Slots = 3;
  static constexpr auto PromotionTime = 300ms;

  /// \p ViewIps has the address at which each daemon finds the instances.
  replicated_database(std::vector<std::string> ViewIps, platform &Platform,
                      record &Record)
      : Platform(Platform), Record(Record), Instances(Zones.size()) {
    for (std::size_t Index = 0; Index < Instances.size(); ++Index) {
      instance &Instance = Instances[Index];
      Instance.Id = "i-" + std::string(1, static_cast<char>('a' + Index));
      Instance.Zone = Zones[Index];
      Instance.IsPrimary = Index == 0;
      Instance.Log = {{1, "", ""}};
      Instance.Port = freePort(ViewIps.front());
      for (std::size_t View = 0; View < ViewIps.size(); ++View)
        acceptForever(listenOn(ViewIps[View], Instance.Port),
                      [this, &Instance, View](int Socket) {
                        serve(Instance, View, Socket);
                      });
    }
    std::thread([this] {
      while (true) {
        for (instance &Instance : Instances)
          checkIn(Instance);
        std::this_thread::sleep_for(1200ms);
      }
    }).detach();
    std::thread([this] {
      while (true) {
        stepDown();
        std::this_thread::sleep_for(20ms);
      }
    }).detach();
  }

  /// The platform has accepted an order: the instance leads some hundred
  /// milliseconds later, with what it has received.
  bool promote(const std::string &Id) {
    for (instance &Instance : Instances)
      if (Instance.Id == Id) {
        std::thread([this, &Instance] {
          std::this_thread::sleep_for(PromotionTime);
          lead(Instance);
        }).detach();
        return true;
      }
    return false;
  }

  /// Changes instances, and lets replication go on.
  void change(const std::function<void(std::vector<instance> &)> &Change) {
    std::lock_guard Lock(Mutex);
    Change(Instances);
    replicate();
  }
  [[nodiscard]] std::optional<clock::time_point> promotedAt() {
    std::lock_guard Lock(Mutex);
    return PromotedAt;
  }
  [[nodiscard]] std::string promoted() {
    std::lock_guard Lock(Mutex);
    return Promoted;
  }
  [[nodiscard]] std::vector<instance> instances() {
    std::lock_guard Lock(Mutex);
    return Instances;
  }

private:
  void lead(instance &Instance) {
    {
      std::lock_guard Lock(Mutex);
      if (Instance.IsPrimary)
        return;
      for (const instance &Other : Instances)
        Instance.Term = std::max(Instance.Term, Other.Term);
      ++Instance.Term;
      Instance.IsPrimary = true;
      Instance.Held = 0;
      if (!PromotedAt) {
        PromotedAt = clock::now();
        Promoted = Instance.Id;
      }
      Record.add(Instance.Id, "leads term " + std::to_string(Instance.Term) +
                                  " from " + position(Instance));
      replicate();
    }
    checkIn(Instance);
  }

  /// A replaced primary becomes a replica a second after it can reach the new
  /// primary.
  void stepDown() {
    std::lock_guard Lock(Mutex);
    for (instance &Old : Instances) {
      bool IsReplaced = false;
      for (const instance &New : Instances)
        IsReplaced =
            IsReplaced || (Old.IsPrimary && New.IsPrimary &&
                           New.Term > Old.Term && areConnected(Old, New));
      if (!IsReplaced)
        Old.ReplacedSince.reset();
      else if (!Old.ReplacedSince)
        Old.ReplacedSince = clock::now();
      else if (clock::now() >= *Old.ReplacedSince + 1s) {
        Old.IsPrimary = false;
        Record.add(Old.Id, "was replaced and becomes a replica");
      }
    }
    replicate();
  }

  void checkIn(instance &Instance) {
    json Entry;
    {
      std::lock_guard Lock(Mutex);
      if (Instance.IsDown) {
        // Three intervals of silence are over at the fourth.
        if (++Instance.MissedCheckIns == 4) {
          Record.add(Instance.Id, "is no longer listed");
          Platform.remove("servers", Instance.Id);
        }
        return;
      }
      Instance.MissedCheckIns = 0;
      Entry = {{"service", "records1"},
               {"address", "127.0.0.1:" + std::to_string(Instance.Port)},
               {"zone", Instance.Zone},
               {"configVersion", "v1"},
               {"slots", Slots},
               {"state", "ready"},
               {"coldRemainingMs", 0},
               {"databaseRole", Instance.IsPrimary ? "primary" : "replica"},
               {"sequence", ++CheckIns}};
    }
    Platform.put("servers", Instance.Id, Entry);
  }

  static std::string position(const instance &Instance) {
    return std::to_string(Instance.Log.back().Term) + "." +
           std::to_string(Instance.Log.size());
  }

  /// The first instance is the one that is partitioned from the others.
  [[nodiscard]] bool areConnected(const instance &One,
                                  const instance &Other) const {
    bool IsFirst = &One == &Instances[0] || &Other == &Instances[0];
    return !(IsFirst && IsFirstCut) && !One.IsDown && !Other.IsDown;
  }

  /// Replicas take over the log of the primary of the highest term that they
  /// reach. Called with the lock held.
  void replicate() {
    for (instance &Replica : Instances) {
      if (Replica.IsPrimary || Replica.IsDeaf || Replica.Held > 0)
        continue;
      instance *Leader = nullptr;
      for (instance &Primary : Instances)
        if (Primary.IsPrimary && areConnected(Primary, Replica) &&
            Primary.Term >= Replica.Term &&
            (!Leader || Primary.Term > Leader->Term))
          Leader = &Primary;
      if (!Leader)
        continue;
      if (Replica.Term != Leader->Term)
        Record.add(Replica.Id, "follows " + Leader->Id + " in term " +
                                   std::to_string(Leader->Term));
      Replica.Term = Leader->Term;
      Replica.Log = Leader->Log;
    }
    Changed.notify_all();
  }

  /// Whether a replica has received a commit of \p Primary.
  [[nodiscard]] bool isConfirmed(const instance &Primary,
                                 std::size_t Size) const {
    for (const instance &Replica : Instances)
      if (&Replica != &Primary && Replica.Log.size() >= Size &&
          Replica.Log[Size - 1] == Primary.Log[Size - 1])
        return true;
    return false;
  }

  void serve(instance &Instance, std::size_t View, int Socket) {
    line_reader Reader(Socket);
    bool HasStarted = false;
    while (std::optional<std::string> Line =
               Reader.line(clock::now() + 3600s)) {
      {
        // Bytes on a cut path are lost, since their sender gives up.
        std::unique_lock Lock(Mutex);
        auto IsCut = [&] {
          return Instance.IsDown || Instance.CutViews.contains(View);
        };
        if (IsCut()) {
          Changed.wait(Lock, [&] { return !IsCut(); });
          return;
        }
      }
      std::string Word = takeField(*Line);
      std::string Answer;
      if (!HasStarted && Word == "START") {
        std::lock_guard Lock(Mutex);
        HasStarted = true;
        Answer = "READY I " + position(Instance) + "\r\n";
      } else if (HasStarted && Word == "QUERY") {
        Answer = answerTo(Instance, *Line, Socket);
      }
      if (Answer.empty() || !sendAll(Socket, Answer))
        return;
    }
  }

  static bool isClosed(int Socket) {
    char Byte = 0;
    return recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  std::string answerTo(instance &Instance, std::string Fields, int Socket) {
    std::string Id = takeField(Fields);
    std::string Text = Fields;
    std::string Verb = takeField(Fields);
    std::unique_lock Lock(Mutex);
    auto End = [&] { return "READY I " + position(Instance) + "\r\n"; };
    auto Refuse = [&](const std::string &Code) {
      return "ERROR " + Code + " " + Instance.Id + "\r\n" + End();
    };
    auto StatusRow = [&] {
      return "ROW " +
             std::string(Instance.IsPrimary ? "primary " : "replica ") +
             std::to_string(Instance.Term) + " " + position(Instance) + " " +
             std::to_string(Instance.Held) + " 0 " +
             std::to_string(Instance.Busy) + " 1\r\nCOMPLETE -\r\n" + End();
    };
    if (Verb == "STATUS")
      return Instance.Busy >= Slots ? Refuse("BUSY") : StatusRow();
    if (Verb == "PAUSE" || Verb == "DEMOTE" || Verb == "RESUME") {
      int Asked = Verb == "RESUME" ? 0 : std::stoi(Fields);
      if (Verb == "PAUSE" && !Instance.IsPrimary && Asked > Instance.Term)
        Instance.Held = Asked;
      if (Verb == "DEMOTE" && Instance.IsPrimary && Asked > Instance.Term)
        Instance.IsPrimary = false;
      if (Verb == "RESUME")
        Instance.Held = 0;
      Record.add(Instance.Id, Text);
      replicate();
      return StatusRow();
    }
    if (Verb == "RESET" || Verb == "SET" || Verb == "ROLLBACK")
      return "COMPLETE -\r\n" + End();
    if (Verb != "READ" && Verb != "WRITE")
      return Refuse("MALFORMED");
    // Requests wait for a slot, until their sender gives up.
    while (Instance.Busy >= Slots) {
      Changed.wait_for(Lock, 5ms);
      if (isClosed(Socket))
        return "";
    }
    ++Instance.Busy;
    Lock.unlock();
    std::this_thread::sleep_for(2ms);
    Lock.lock();
    std::string Answer = run(Instance, Lock, Id, Verb, Fields, Socket, Refuse);
    --Instance.Busy;
    Changed.notify_all();
    return Answer.empty() || Answer.starts_with("ERROR") ? Answer
                                                         : Answer + End();
  }

  template <typename Refuse>
  std::string run(instance &Instance, std::unique_lock<std::mutex> &Lock,
                  const std::string &Id, const std::string &Verb,
                  std::string Fields, int Socket, Refuse RefuseWith) {
    std::string Item = takeField(Fields);
    std::string Receipt = "COMPLETE r" + std::to_string(++Receipts) + "\r\n";
    if (Verb == "READ") {
      std::string Data;
      for (const commit &Commit : Instance.Log)
        if (Commit.Item == Item)
          Data = Commit.Data;
      Record.add(Instance.Id, "runs " + Id + " READ " + Item + " at " +
                                  position(Instance) + ": " + Data);
      return "ROW " + Data + "\r\n" + Receipt;
    }
    if (!Instance.IsPrimary)
      return RefuseWith("READONLY");
    Instance.Log.push_back({Instance.Term, Item, Fields});
    std::size_t Size = Instance.Log.size();
    int Term = Instance.Term;
    Record.add(Instance.Id, "runs " + Id + " WRITE " + Item + " " + Fields +
                                ", commit " + position(Instance));
    replicate();
    while (!isConfirmed(Instance, Size)) {
      Changed.wait_for(Lock, 5ms);
      if (isClosed(Socket) || Instance.IsDown)
        return "";
      if (!Instance.IsPrimary || Instance.Term != Term)
        return RefuseWith("FAILED");
    }
    Record.add(Instance.Id, "commit " + std::to_string(Term) + "." +
                                std::to_string(Size) + " is received");
    return Receipt;
  }

public:
  /// Whether the first instance is partitioned from the others.
  bool IsFirstCut = false;

private:
  platform &Platform;
  record &Record;
  std::vector<instance> Instances;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::optional<clock::time_point> PromotedAt;
  std::string Promoted;
  int Receipts = 0;
  int CheckIns = 0;
};

} // namespace review2

#endif
