// Stand-in of one replicated database: a primary and its replicas, which speak
// the wire protocol, register with the platform and obey its promotions.
#ifndef REVIEW_DATABASE_HH
#define REVIEW_DATABASE_HH

#include "platform.hh"

#include <algorithm>

namespace review {

/// A statement that an instance has run for a client, as it received it.
struct statement_run {
  std::string Instance;
  std::string Tenant;
  std::string Id;
  std::string Text;
  /// Whether a transaction was open on the connection.
  bool IsInTransaction = false;
};

class database {
public:
  struct options {
    std::string Service;
    /// One instance for each zone; the first one is the primary.
    std::vector<std::string> Zones;
    int ConnectionLimit = 48;
    std::chrono::milliseconds ReplicationDelay{20};
    std::chrono::milliseconds PromotionTime{300};
  };

  database(const options &Options, platform &Platform, record &Record)
      : Options(Options), Platform(Platform), Record(Record) {
    for (const std::string &Zone : Options.Zones) {
      auto Instance = std::make_unique<instance>();
      Instance->Id =
          "i-" + Options.Service + "-" + std::to_string(Instances.size() + 1);
      Instance->Zone = Zone;
      Instance->IsPrimary = Instances.empty();
      Instance->Port =
          std::make_unique<server>([this, Target = Instance.get()](int Socket) {
            serve(*Target, Socket);
          });
      Instances.push_back(std::move(Instance));
    }
    Reporter = std::thread([this] { report(); });
  }
  ~database() {
    IsStopping = true;
    Reporter.join();
    for (auto &Instance : Instances)
      Instance->Port->stop();
    for (std::thread &Thread : Promotions)
      Thread.join();
  }

  /// Stores rows that a read of \p Item returns.
  void setRows(const std::string &Item, std::vector<std::string> Rows) {
    std::lock_guard Guard(Mutex);
    StoredRows[Item] = std::move(Rows);
  }

  /// Sets how long an instance works on each statement of a client.
  void setWorkTime(std::chrono::milliseconds Value) {
    std::lock_guard Guard(Mutex);
    WorkTime = Value;
  }

  /// Statements of clients that have run, in order.
  std::vector<statement_run> runs() {
    std::lock_guard Guard(Mutex);
    return Runs;
  }

  std::string primary() {
    std::lock_guard Guard(Mutex);
    for (const auto &Instance : Instances)
      if (Instance->IsAlive && Instance->IsPrimary &&
          Instance->Term == NewestTerm)
        return Instance->Id;
    return {};
  }

  /// Ends the process of \p Id: its connections break and its port is closed.
  void crash(const std::string &Id) {
    instance &Instance = *find(Id);
    {
      std::lock_guard Guard(Mutex);
      Instance.IsAlive = false;
      Instance.DiedAt = clock::now();
      Instance.HeldTerm = 0;
    }
    Instance.Port->stop();
    Record.add(Id, "crashes");
  }

  /// Starts the process of \p Id again, with its log; as a replica if another
  /// instance was promoted.
  void restart(const std::string &Id) {
    instance &Instance = *find(Id);
    Instance.Port->restart();
    std::lock_guard Guard(Mutex);
    Instance.IsAlive = true;
    Instance.BornAt += 1000;
    catchUp(Instance);
    Record.add(Id, "is back");
  }

  /// Announces that \p Id leaves, as before a planned shutdown.
  void announceLeaving(const std::string &Id) {
    std::lock_guard Guard(Mutex);
    find(Id)->IsDraining = true;
  }
  /// Ends the leaving of \p Id: a new process with its log has its address and
  /// a new identifier.
  void replace(const std::string &Id) {
    std::lock_guard Guard(Mutex);
    instance &Instance = *find(Id);
    Platform.remove("servers", Id);
    Instance.Reported.clear();
    Instance.Id += "b";
    Instance.IsDraining = false;
    Instance.BornAt += 1000;
    Record.add(Id, "has left; " + Instance.Id + " has its log and address");
  }

  /// Carries out a promotion; returns the HTTP status.
  int promote(const promotion_order &Order) {
    std::lock_guard Guard(Mutex);
    instance *Target = find(Order.Instance);
    if (Order.Service != Options.Service || !Target || !Target->IsAlive)
      return 409;
    if (Target->IsPrimary && Target->Term == NewestTerm)
      return 200;
    Promotions.emplace_back([this, Target] {
      std::this_thread::sleep_for(Options.PromotionTime);
      takeLead(*Target);
    });
    return 200;
  }

private:
  struct log_entry {
    std::uint64_t Term = 0;
    std::uint64_t Number = 0;
    std::map<std::string, std::string> Writes;
  };
  struct instance {
    std::string Id;
    std::string Zone;
    std::unique_ptr<server> Port;
    bool IsAlive = true;
    bool IsPrimary = false;
    bool IsDraining = false;
    std::uint64_t Term = 1;
    /// Term of the PAUSE in force, 0 for none.
    std::uint64_t HeldTerm = 0;
    std::vector<log_entry> Log;
    clock::time_point DiedAt;
    std::int64_t BornAt = 1'790'000'000'000;
    std::uint64_t Sequence = 0;
    std::string Reported;
    int Connections = 0;
  };
  /// State of one connection.
  struct session {
    instance &Instance;
    int Socket;
    std::string Tenant;
    char State = 'I';
    std::map<std::string, std::string> Values;
    std::map<std::string, std::string> Prepared;
    std::map<std::string, std::string> Writes;
    bool HasWritten = false;
  };

  instance *find(const std::string &Id) {
    for (auto &Instance : Instances)
      if (Instance->Id == Id)
        return Instance.get();
    return nullptr;
  }

  /// Registers the instances with the platform: an entry follows each change at
  /// once, and lapses after three check-in intervals of silence.
  void report() {
    constexpr auto Lifetime = 3600ms;
    while (!IsStopping) {
      {
        std::lock_guard Guard(Mutex);
        for (auto &Instance : Instances) {
          bool IsLapsed = !Instance->IsAlive && !Instance->Reported.empty() &&
                          clock::now() > Instance->DiedAt + Lifetime;
          if (IsLapsed) {
            Platform.remove("servers", Instance->Id);
            Instance->Reported.clear();
          }
          if (!Instance->IsAlive)
            continue;
          json Entry = {
              {"service", Options.Service},
              {"address", addressOf(Instance->Port->port())},
              {"zone", Instance->Zone},
              {"configVersion", "v1"},
              {"slots", 5},
              {"state", Instance->IsDraining ? "draining" : "ready"},
              {"coldRemainingMs", 0},
              {"born", Instance->BornAt},
              {"databaseRole", Instance->IsPrimary ? "primary" : "replica"}};
          if (Entry.dump() == Instance->Reported)
            continue;
          Instance->Reported = Entry.dump();
          Entry["sequence"] = ++Instance->Sequence;
          Platform.put("servers", Instance->Id, Entry);
        }
      }
      std::this_thread::sleep_for(20ms);
    }
  }

  static std::string word(std::string &Rest) {
    std::size_t End = Rest.find(' ');
    std::string Word = Rest.substr(0, End);
    Rest = End == std::string::npos ? std::string() : Rest.substr(End + 1);
    return Word;
  }

  static std::string position(const instance &Instance) {
    if (Instance.Log.empty())
      return "1.0";
    const log_entry &Last = Instance.Log.back();
    return std::to_string(Last.Term) + "." + std::to_string(Last.Number);
  }

  void serve(instance &Instance, int Socket) {
    reader Reader(Socket);
    std::optional<std::string> Line = Reader.until("\r\n");
    if (!Line || word(*Line) != "START")
      return;
    std::string Service = word(*Line);
    session Session{Instance, Socket, word(*Line), 'I', {}, {}, {}, false};
    std::string Expected = word(*Line);
    std::string Opened;
    bool IsOpen = false;
    {
      std::lock_guard Guard(Mutex);
      bool IsMisrouted = Service != Options.Service ||
                         (!Expected.empty() && Expected != Instance.Id);
      IsOpen = !IsMisrouted && Instance.Connections < Options.ConnectionLimit;
      Opened = IsMisrouted ? "ERROR MISROUTED " + Instance.Id + "\r\n"
               : IsOpen    ? "READY I " + position(Instance) + "\r\n"
                           : "ERROR TOOMANY " + Instance.Id + "\r\n";
      Instance.Connections += IsOpen ? 1 : 0;
    }
    if (sendAll(Socket, Opened) && IsOpen)
      while (std::optional<std::string> Query = Reader.until("\r\n"))
        if (!query(Session, *Query))
          break;
    std::lock_guard Guard(Mutex);
    Instance.Connections -= IsOpen ? 1 : 0;
  }

  bool query(session &Session, std::string Line) {
    if (word(Line) != "QUERY")
      return false;
    std::string Id = word(Line);
    std::string Text = Line;
    std::string Out;
    if (!run(Session, Id, Text, Out))
      return false;
    std::lock_guard Guard(Mutex);
    Out += "READY ";
    Out += Session.State;
    Out += " " + position(Session.Instance) + "\r\n";
    return sendAll(Session.Socket, Out);
  }

  static std::string error(session &Session, const std::string &Code) {
    if (Session.State == 'T')
      Session.State = 'E';
    return "ERROR " + Code + " " + Session.Instance.Id + "\r\n";
  }

  std::string statusRow(const instance &Instance) const {
    return "ROW " + std::string(Instance.IsPrimary ? "primary" : "replica") +
           " " + std::to_string(Instance.Term) + " " + position(Instance) +
           " " + std::to_string(Instance.HeldTerm) + " 0 0 " +
           std::to_string(Instance.Connections) + "\r\nCOMPLETE -\r\n";
  }

  /// Returns false if the connection ends without an answer.
  bool run(session &Session, const std::string &Id, std::string Text,
           std::string &Out) {
    std::unique_lock Lock(Mutex);
    instance &Instance = Session.Instance;
    if (!Instance.IsAlive)
      return false;
    std::string Whole = Text;
    std::string Verb = word(Text);
    if (Verb == "AFTER") {
      std::string Wanted = word(Text);
      Whole = Text;
      Verb = word(Text);
      if (isBehind(Instance, Wanted)) {
        Out = error(Session, "LAGGING");
        return true;
      }
    }
    if (Verb == "STATUS" || Verb == "PAUSE" || Verb == "RESUME" ||
        Verb == "DEMOTE") {
      control(Instance, Verb, Text);
      Out = statusRow(Instance);
      return true;
    }
    if (Verb == "RESET") {
      Session.Values.clear();
      Session.Prepared.clear();
    } else if (Verb == "SET") {
      std::string Name = word(Text);
      Session.Values[Name] = Text;
    } else if (Verb == "PREPARE") {
      std::string Name = word(Text);
      Session.Prepared[Name] = Text;
    } else if (Verb == "ROLLBACK") {
      Session.State = 'I';
      Session.Writes.clear();
      Session.HasWritten = false;
    } else if (Session.State == 'E') {
      Out = error(Session, "MALFORMED");
      return true;
    } else if (Verb == "BEGIN") {
      if (Text.empty() && !Instance.IsPrimary) {
        Out = error(Session, "READONLY");
        return true;
      }
      Session.State = 'T';
    } else {
      return runForClient(Session, Id, Whole, Out, Lock);
    }
    Out = "COMPLETE -\r\n";
    return true;
  }

  bool runForClient(session &Session, const std::string &Id,
                    const std::string &Whole, std::string &Out,
                    std::unique_lock<std::mutex> &Lock) {
    instance &Instance = Session.Instance;
    std::string Text = Whole;
    std::string Verb = word(Text);
    if (Verb == "EXECUTE") {
      auto Shape = Session.Prepared.find(word(Text));
      if (Shape == Session.Prepared.end()) {
        Out = error(Session, "NOSUCHNAME");
        return true;
      }
      std::string Rest = Shape->second;
      Verb = word(Rest);
    }
    bool IsCommit = Verb == "COMMIT" && Session.State == 'T';
    bool IsWrite = Verb == "WRITE";
    if (Verb != "READ" && !IsWrite && !IsCommit) {
      Out = error(Session, "MALFORMED");
      return true;
    }
    bool NeedsLead = IsWrite || (IsCommit && Session.HasWritten);
    if (NeedsLead && !Instance.IsPrimary) {
      Out = error(Session, "READONLY");
      return true;
    }
    bool IsInTransaction = Session.State == 'T';
    Runs.push_back({Instance.Id, Session.Tenant, Id, Whole, IsInTransaction});
    Record.add(Instance.Id, "runs " + Id + " " + Whole +
                                (IsInTransaction ? " (in a transaction)" : ""));
    if (WorkTime > 0ms) {
      Lock.unlock();
      std::this_thread::sleep_for(WorkTime);
      Lock.lock();
    }
    std::string Item = word(Text);
    std::string Rows;
    if (Verb == "READ")
      Rows = read(Instance, Session, Item);
    if (IsWrite) {
      Session.Writes[Item] = Text;
      Session.HasWritten = true;
    }
    bool Ends = IsCommit || Session.State == 'I';
    if (IsCommit)
      Session.State = 'I';
    if (Ends && Session.HasWritten) {
      log_entry Entry{Instance.Term,
                      Instance.Log.empty() ? 1 : Instance.Log.back().Number + 1,
                      Session.Writes};
      Instance.Log.push_back(Entry);
      Session.Writes.clear();
      Session.HasWritten = false;
      if (!replicate(Instance, Entry, Lock))
        return false;
    }
    Out = Rows + "COMPLETE " + Instance.Id + "." +
          std::to_string(++LastReceipt) + "\r\n";
    return true;
  }

  std::string read(const instance &Instance, const session &Session,
                   const std::string &Item) const {
    std::string Out;
    auto Stored = StoredRows.find(Item);
    if (Stored != StoredRows.end())
      for (const std::string &Row : Stored->second)
        Out += "ROW " + Row + "\r\n";
    std::optional<std::string> Value;
    for (const log_entry &Entry : Instance.Log)
      if (Entry.Writes.contains(Item))
        Value = Entry.Writes.at(Item);
    if (Session.Writes.contains(Item))
      Value = Session.Writes.at(Item);
    return Value ? Out + "ROW " + *Value + "\r\n" : Out;
  }

  static bool isBehind(const instance &Instance, const std::string &Wanted) {
    std::size_t Dot = Wanted.find('.');
    std::pair Needed{std::stoull(Wanted.substr(0, Dot)),
                     std::stoull(Wanted.substr(Dot + 1))};
    std::pair<unsigned long long, unsigned long long> Held{1, 0};
    if (!Instance.Log.empty())
      Held = {Instance.Log.back().Term, Instance.Log.back().Number};
    return Held < Needed;
  }

  void control(instance &Instance, const std::string &Verb,
               const std::string &Text) {
    std::uint64_t Term = Text.empty() ? 0 : std::stoull(Text);
    if (Verb != "STATUS")
      Record.add(Instance.Id, Verb + " " + Text);
    if (Verb == "PAUSE" && !Instance.IsPrimary && Term > NewestTerm)
      Instance.HeldTerm = std::max(Instance.HeldTerm, Term);
    if (Verb == "DEMOTE" && Instance.IsPrimary && Term > Instance.Term)
      Instance.IsPrimary = false;
    if (Verb == "RESUME") {
      Instance.HeldTerm = 0;
      catchUp(Instance);
    }
  }

  instance *leader() {
    for (auto &Instance : Instances)
      if (Instance->IsAlive && Instance->IsPrimary &&
          Instance->Term == NewestTerm)
        return Instance.get();
    return nullptr;
  }

  void catchUp(instance &Instance) {
    instance *Leader = leader();
    if (!Leader || Leader == &Instance || Instance.HeldTerm > 0)
      return;
    Instance.Log = Leader->Log;
    Instance.Term = Leader->Term;
    Instance.IsPrimary = false;
  }

  /// Returns once a replica has received the log of \p Instance up to \p Entry;
  /// false if the instance no longer leads by then.
  bool replicate(instance &Instance, const log_entry &Entry,
                 std::unique_lock<std::mutex> &Lock) {
    while (!IsStopping) {
      Lock.unlock();
      std::this_thread::sleep_for(Options.ReplicationDelay);
      Lock.lock();
      if (!Instance.IsAlive || !Instance.IsPrimary)
        return false;
      bool IsReceived = false;
      for (auto &Other : Instances) {
        if (Other.get() == &Instance || !Other->IsAlive || Other->HeldTerm > 0)
          continue;
        catchUp(*Other);
        IsReceived = IsReceived || (!Other->Log.empty() &&
                                    Other->Log.back().Number >= Entry.Number);
      }
      if (IsReceived)
        return true;
    }
    return false;
  }

  void takeLead(instance &Target) {
    std::lock_guard Guard(Mutex);
    if (!Target.IsAlive || (Target.IsPrimary && Target.Term == NewestTerm))
      return;
    ++NewestTerm;
    for (auto &Instance : Instances)
      Instance->IsPrimary = false;
    Target.IsPrimary = true;
    Target.Term = NewestTerm;
    Target.HeldTerm = 0;
    for (auto &Instance : Instances)
      if (Instance->IsAlive && Instance->HeldTerm == 0)
        catchUp(*Instance);
    Record.add(Target.Id, "leads term " + std::to_string(NewestTerm));
  }

  options Options;
  platform &Platform;
  record &Record;
  std::mutex Mutex;
  std::uint64_t NewestTerm = 1;
  std::uint64_t LastReceipt = 0;
  std::chrono::milliseconds WorkTime{0};
  std::map<std::string, std::vector<std::string>> StoredRows;
  std::vector<statement_run> Runs;
  std::vector<std::unique_ptr<instance>> Instances;
  std::vector<std::thread> Promotions;
  std::atomic<bool> IsStopping{false};
  std::thread Reporter;
};

} // namespace review

#endif
