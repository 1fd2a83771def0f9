/// \file
/// A database of one primary and its replicas, as the pages describe them. A
/// commit is received by all replicas before it is acknowledged.
#ifndef REVIEW_STAND_INS_2_DATABASE_HH
#define REVIEW_STAND_INS_2_DATABASE_HH

#include "platform.hh"

#include <memory>
#include <semaphore>
#include <set>

namespace review2 {

/// A statement that an instance has run for a client.
struct statement_run {
  clock::time_point At;
  std::string Instance;
  std::string Tenant;
  std::string Id;
  std::string Text;
};

class database {
public:
  struct options {
    std::string Service;
    std::vector<std::string> Zones;
    std::chrono::milliseconds Work{2};
    int Slots = 3;
    int ConnectionLimit = 48;
  };

  database(const std::string &Ip, options NewOptions, platform &Platform,
           record &Record)
      : Options(std::move(NewOptions)), Platform(Platform), Record(Record) {
    for (const std::string &Zone : Options.Zones) {
      auto Instance = std::make_unique<instance>(Options.Slots);
      Instance->Id =
          "i-" + Options.Service + "-" + std::to_string(Instances.size() + 1);
      Instance->Zone = Zone;
      int Listener = listenOn(Ip, Instance->Port);
      Instance->Address = Ip + ":" + std::to_string(Instance->Port);
      Instances.push_back(std::move(Instance));
      auto *Served = Instances.back().get();
      acceptForever(Listener,
                    [this, Served](int Socket) { serve(*Served, Socket); });
    }
    std::thread([this] {
      while (true) {
        for (std::size_t Index = 0; Index < Instances.size(); ++Index)
          checkIn(Index);
        std::this_thread::sleep_for(1200ms);
      }
    }).detach();
  }

  /// Makes an instance the primary of the next term.
  bool promote(const std::string &Id) {
    std::unique_lock Lock(Mutex);
    for (std::size_t Index = 0; Index < Instances.size(); ++Index) {
      if (Instances[Index]->Id != Id)
        continue;
      if (Index != Primary) {
        ++Term;
        Primary = Index;
        Paused.clear();
      }
      Lock.unlock();
      checkIn(Index);
      return true;
    }
    return false;
  }

  [[nodiscard]] std::vector<statement_run> runs() {
    std::lock_guard Lock(Mutex);
    return Runs;
  }

private:
  struct instance {
    explicit instance(int Slots) : Free(Slots) {}
    std::string Id;
    std::string Zone;
    std::string Address;
    int Port = 0;
    int Connections = 0;
    std::counting_semaphore<> Free;
  };
  struct session {
    std::string Tenant;
    char State = 'I';
    bool IsReadOnly = false;
    std::vector<std::pair<std::string, std::string>> Writes;
    std::map<std::string, std::pair<std::string, std::string>> Prepared;
  };

  void checkIn(std::size_t Index) {
    instance &Instance = *Instances[Index];
    bool IsPrimary = false;
    int Number = 0;
    {
      std::lock_guard Lock(Mutex);
      IsPrimary = Index == Primary;
      Number = ++CheckIns;
    }
    Platform.put("servers", Instance.Id,
                 {{"service", Options.Service},
                  {"address", Instance.Address},
                  {"zone", Instance.Zone},
                  {"configVersion", "v1"},
                  {"slots", Options.Slots},
                  {"state", "ready"},
                  {"coldRemainingMs", 0},
                  {"databaseRole", IsPrimary ? "primary" : "replica"},
                  {"sequence", Number}});
  }

  [[nodiscard]] std::string position() const {
    return std::to_string(Term) + "." + std::to_string(Commits);
  }

  void serve(instance &Instance, int Socket) {
    line_reader Reader(Socket);
    std::optional<std::string> Line = Reader.line(clock::now() + 3600s);
    if (!Line || takeField(*Line) != "START")
      return;
    std::string Service = takeField(*Line);
    session Session;
    Session.Tenant = takeField(*Line);
    bool IsRight = Service == Options.Service && *Line == Instance.Id;
    bool IsFull = false;
    std::string Ready;
    {
      std::lock_guard Lock(Mutex);
      IsFull = ++Instance.Connections > Options.ConnectionLimit;
      Ready = "READY I " + position() + "\r\n";
    }
    if (!IsRight)
      sendAll(Socket, "ERROR MISROUTED " + Instance.Id + "\r\n");
    else if (IsFull)
      sendAll(Socket, "ERROR TOOMANY " + Instance.Id + "\r\n");
    else if (sendAll(Socket, Ready))
      while ((Line = Reader.line(clock::now() + 3600s)))
        if (takeField(*Line) != "QUERY" ||
            !sendAll(Socket, answer(Instance, Session, *Line)))
          break;
    std::lock_guard Lock(Mutex);
    --Instance.Connections;
  }

  std::string answer(instance &Instance, session &Session, std::string Fields) {
    std::string Id = takeField(Fields);
    std::string Text = Fields;
    std::string Rest = Fields;
    std::string Verb = takeField(Rest);
    if (Verb == "AFTER") { // all instances hold all commits
      takeField(Rest);
      Text = Rest;
      Verb = takeField(Rest);
    }
    bool Works = Id != "-" || Verb == "STATUS";
    if (Works) {
      Instance.Free.acquire();
      std::this_thread::sleep_for(Verb == "STATUS" ? 0ms : Options.Work);
    }
    std::string Result = run(Instance, Session, Id, Text, Verb, Rest);
    if (Works)
      Instance.Free.release();
    return Result;
  }

  std::string run(instance &Instance, session &Session, const std::string &Id,
                  const std::string &Text, std::string Verb, std::string Rest) {
    std::lock_guard Lock(Mutex);
    bool IsPrimary = Instances[Primary].get() == &Instance;
    auto Whole = [&](const std::string &Lines) {
      return Lines + "READY " + Session.State + " " + position() + "\r\n";
    };
    auto Refuse = [&](const std::string &Code) {
      Session.State = Session.State == 'I' ? 'I' : 'E';
      return Whole("ERROR " + Code + " " + Instance.Id + "\r\n");
    };
    const std::string Done = "COMPLETE -\r\n";
    if (Session.State == 'E' && Verb != "ROLLBACK" && Verb != "COMMIT")
      return Refuse("MALFORMED");
    if (Verb == "STATUS" || Verb == "PAUSE" || Verb == "RESUME" ||
        Verb == "DEMOTE") {
      if (Verb == "PAUSE" && !IsPrimary)
        Paused[Instance.Id] = std::stoi(Rest);
      if (Verb == "RESUME")
        Paused.erase(Instance.Id);
      int Held = Paused.contains(Instance.Id) ? Paused[Instance.Id] : 0;
      return Whole("ROW " + std::string(IsPrimary ? "primary " : "replica ") +
                   std::to_string(Term) + " " + position() + " " +
                   std::to_string(Held) + " 0 1 " +
                   std::to_string(Instance.Connections) + "\r\n" + Done);
    }
    if (Verb == "BEGIN") {
      Session.IsReadOnly = Rest == "READ";
      if (!Session.IsReadOnly && !IsPrimary)
        return Refuse("READONLY");
      Session.State = 'T';
      return Whole(Done);
    }
    if (Verb == "ROLLBACK") {
      Session.State = 'I';
      Session.Writes.clear();
      return Whole(Done);
    }
    if (Verb == "SET")
      return Whole(Done);
    if (Verb == "RESET") {
      Session.Prepared.clear();
      return Whole(Done);
    }
    if (Verb == "PREPARE") {
      std::string Name = takeField(Rest);
      std::string Kind = takeField(Rest);
      Session.Prepared[Name] = {Kind, Rest};
      return Whole(Done);
    }
    if (Verb == "EXECUTE") {
      std::string Name = takeField(Rest);
      if (!Session.Prepared.contains(Name))
        return Refuse("NOSUCHNAME");
      Verb = Session.Prepared[Name].first;
    }
    bool IsEnd = Verb == "COMMIT";
    if (Verb != "READ" && Verb != "WRITE" && !IsEnd)
      return Refuse("MALFORMED");
    bool Commits = IsEnd ? !Session.Writes.empty() : Verb == "WRITE";
    if (Commits && (!IsPrimary || Session.IsReadOnly))
      return Refuse("READONLY");
    Runs.push_back({clock::now(), Instance.Id, Session.Tenant, Id, Text});
    Record.add(Instance.Id, "runs for " + Session.Tenant + ": " + Id + " " +
                                Text.substr(0, 60));
    std::string Rows;
    if (Verb == "READ")
      Rows = "ROW " + Items[Rest] + "\r\n";
    if (Verb == "WRITE") {
      std::string Item = takeField(Rest);
      if (Session.State == 'T')
        Session.Writes.emplace_back(Item, Rest);
      else
        commit({{Item, Rest}});
    }
    if (IsEnd) {
      commit(Session.Writes);
      Session.Writes.clear();
      Session.State = 'I';
    }
    return Whole(Rows + "COMPLETE r" + std::to_string(++Receipts) + "\r\n");
  }

  void commit(const std::vector<std::pair<std::string, std::string>> &Writes) {
    if (Writes.empty())
      return;
    ++Commits;
    for (const auto &[Item, Data] : Writes)
      Items[Item] = Data;
  }

  options Options;
  platform &Platform;
  record &Record;
  std::vector<std::unique_ptr<instance>> Instances;
  std::mutex Mutex;
  std::size_t Primary = 0;
  int Term = 1;
  int Commits = 1;
  int Receipts = 0;
  int CheckIns = 0;
  std::map<std::string, int> Paused;
  std::map<std::string, std::string> Items;
  std::vector<statement_run> Runs;
};

} // namespace review2

#endif
