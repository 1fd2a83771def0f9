#include "group_under_cut.hh"

#include <sys/socket.h>

#include <algorithm>
#include <thread>

namespace review {

using namespace std::chrono_literals;

namespace {

std::string takeWord(std::string &Rest) {
  auto End = std::min(Rest.find(' '), Rest.size());
  std::string Word = Rest.substr(0, End);
  Rest.erase(0, std::min(End + 1, Rest.size()));
  return Word;
}

} // namespace

group_under_cut::instance &group_under_cut::of(const std::string &Id) {
  return **std::ranges::find_if(
      Instances, [&](const auto &Instance) { return Instance->Id == Id; });
}

std::string group_under_cut::add(const std::string &Zone,
                                 std::chrono::milliseconds CheckInDelay) {
  std::unique_lock Lock(Mutex);
  auto &Instance = *Instances.emplace_back(std::make_unique<instance>());
  Instance.Id = "i-" + std::to_string(Instances.size()) + newId().substr(0, 6);
  Instance.Zone = Zone;
  Instance.IsPrimary = Instances.size() == 1;
  Instance.Term = LeaderTerm;
  Instance.Born = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  for (std::size_t Daemon = 0; Daemon < Daemons; ++Daemon) {
    auto &Front = *Instance.Fronts.emplace_back(std::make_unique<server>());
    Front.start([this, &Instance, Daemon](int Socket) {
      serve(Instance, Daemon, Socket);
    });
  }
  record().line("instance " + Instance.Id + " starts in " + Zone);
  replicate();
  Changed.notify_all();
  std::thread([this, &Instance, CheckInDelay] {
    std::this_thread::sleep_for(CheckInDelay);
    while (true) {
      checkIn(Instance);
      std::this_thread::sleep_for(1200ms);
    }
  }).detach();
  return Instance.Id;
}

void group_under_cut::checkIn(instance &Instance) {
  std::lock_guard Lock(Mutex);
  if (Instance.IsGone)
    return;
  std::vector<std::string> Addresses;
  for (const auto &Front : Instance.Fronts)
    Addresses.push_back(Front->address());
  if (Instance.Sequence == 0)
    record().line("instance " + Instance.Id + " checks in");
  Store.putListing(
      Instance.Id,
      {{"service", Service},
       {"zone", Instance.Zone},
       {"configVersion", "v1"},
       {"slots", 3},
       {"state", Instance.IsDraining ? "draining" : "ready"},
       {"coldRemainingMs", 0},
       {"databaseRole", Instance.IsPrimary ? "primary" : "replica"},
       {"born", Instance.Born},
       {"sequence", ++Instance.Sequence}},
      Addresses);
}

void group_under_cut::setDraining(const std::string &Id) {
  {
    std::lock_guard Lock(Mutex);
    of(Id).IsDraining = true;
    record().line("instance " + Id + " announces that it leaves");
  }
  checkIn(of(Id));
}

void group_under_cut::remove(const std::string &Id) {
  std::lock_guard Lock(Mutex);
  instance &Instance = of(Id);
  Instance.IsGone = true;
  Instance.IsPrimary = false;
  for (int Socket : Instance.Sockets)
    shutdown(Socket, SHUT_RDWR);
  Store.put("servers", Id, nullptr);
  record().line("instance " + Id + " ends");
  Changed.notify_all();
}

void group_under_cut::setCut(std::size_t Daemon, const std::string &Id,
                             bool IsCut) {
  std::lock_guard Lock(Mutex);
  if (IsCut)
    of(Id).Cut.insert(Daemon);
  else
    of(Id).Cut.erase(Daemon);
  Changed.notify_all();
}

void group_under_cut::setDeaf(const std::string &From, const std::string &To,
                              bool IsDeaf) {
  std::lock_guard Lock(Mutex);
  if (IsDeaf)
    Deaf.insert({From, To});
  else
    Deaf.erase({From, To});
  replicate();
  Changed.notify_all();
}

void group_under_cut::awaitPath(const instance &Instance, std::size_t Daemon) {
  std::unique_lock Lock(Mutex);
  Changed.wait(Lock, [&] { return !Instance.Cut.contains(Daemon); });
}

std::string group_under_cut::end(const instance &Instance,
                                 const session &Session) const {
  return std::string("READY ") + Session.Phase + " " + Instance.end().text() +
         "\r\n";
}

std::string group_under_cut::fail(const instance &Instance, session &Session,
                                  const std::string &Code) const {
  if (Session.Phase == 'T')
    Session.Phase = 'E';
  return "ERROR " + Code + " " + Instance.Id + "\r\n" + end(Instance, Session);
}

void group_under_cut::serve(instance &Instance, std::size_t Daemon,
                            int Socket) {
  {
    std::lock_guard Lock(Mutex);
    if (Instance.IsGone)
      return;
    Instance.Sockets.insert(Socket);
  }
  talk(Instance, Daemon, Socket);
  std::lock_guard Lock(Mutex);
  Instance.Sockets.erase(Socket);
}

void group_under_cut::talk(instance &Instance, std::size_t Daemon, int Socket) {
  line_reader Reader(Socket);
  session Session;
  std::string Line;
  while (Reader.next(Line)) {
    awaitPath(Instance, Daemon);
    std::string Fields = Line;
    std::string Word = takeWord(Fields);
    std::string Answer;
    if (!Session.IsStarted) {
      std::string Name = takeWord(Fields);
      Session.Tenant = takeWord(Fields);
      if (Word != "START" || Name != Service || Fields != Instance.Id) {
        sendAll(Socket, "ERROR MISROUTED " + Instance.Id + "\r\n");
        return;
      }
      Session.IsStarted = true;
      std::this_thread::sleep_for(12ms);
      std::lock_guard Lock(Mutex);
      Answer = end(Instance, Session);
    } else if (Word == "QUERY") {
      Answer = query(Instance, Session, Fields);
    } else {
      return;
    }
    awaitPath(Instance, Daemon);
    if (!sendAll(Socket, Answer))
      return;
  }
}

std::string group_under_cut::query(instance &Instance, session &Session,
                                   std::string Fields) {
  std::string Id = takeWord(Fields);
  std::string Text = Fields;
  std::string Rest = Fields;
  std::string Verb = takeWord(Rest);
  std::unique_lock Lock(Mutex);
  if (Verb == "AFTER") {
    std::string Needed = takeWord(Rest);
    Text = Rest;
    Verb = takeWord(Rest);
    auto Dot = Needed.find('.');
    position Wanted{std::stoull(Needed.substr(0, Dot)),
                    std::stoull(Needed.substr(Dot + 1))};
    if (Instance.end() < Wanted)
      return fail(Instance, Session, "LAGGING");
  }
  if (Session.Phase == 'E' && Verb != "ROLLBACK" && Verb != "COMMIT")
    return fail(Instance, Session, "MALFORMED");
  auto Done = [&] { return "COMPLETE -\r\n" + end(Instance, Session); };
  auto Status = [&] {
    record().line("  " + Verb + " " + Rest + " at " + Instance.Id + ": " +
                  (Instance.IsPrimary ? "primary " : "replica ") +
                  Instance.end().text() + " held " +
                  std::to_string(Instance.Held));
    return std::string("ROW ") +
           (Instance.IsPrimary ? "primary " : "replica ") +
           std::to_string(Instance.Term) + " " + Instance.end().text() + " " +
           std::to_string(Instance.Held) + " 0 0 1\r\n" + Done();
  };
  if (Verb == "STATUS")
    return Status();
  if (Verb == "PAUSE") {
    if (!Instance.IsPrimary && std::stoull(Rest) > Instance.Term)
      Instance.Held = std::stoull(Rest);
    return Status();
  }
  if (Verb == "RESUME") {
    Instance.Held = 0;
    replicate();
    Changed.notify_all();
    return Status();
  }
  if (Verb == "DEMOTE") {
    if (Instance.IsPrimary && std::stoull(Rest) > Instance.Term)
      Instance.IsPrimary = false;
    Changed.notify_all();
    return Status();
  }
  if (Verb == "RESET") {
    Session.Prepared.clear();
    return Done();
  }
  if (Verb == "SET")
    return Done();
  if (Verb == "PREPARE") {
    std::string Name = takeWord(Rest);
    Session.Prepared[Name] = takeWord(Rest);
    return Done();
  }
  if (Verb == "BEGIN") {
    Session.IsReadOnly = Rest == "READ";
    if (!Session.IsReadOnly && !Instance.IsPrimary)
      return fail(Instance, Session, "READONLY");
    Session.Phase = 'T';
    Session.Writes.clear();
    return Done();
  }
  if (Verb == "ROLLBACK") {
    Session.Phase = 'I';
    Session.Writes.clear();
    return Done();
  }
  bool Writes = Verb == "WRITE";
  if (Verb == "EXECUTE") {
    auto Entry = Session.Prepared.find(takeWord(Rest));
    if (Entry == Session.Prepared.end())
      return fail(Instance, Session, "NOSUCHNAME");
    Writes = Entry->second == "WRITE";
  }
  Lock.unlock();
  std::this_thread::sleep_for(std::chrono::milliseconds(WorkMs));
  Lock.lock();
  bool IsCommit = Verb == "COMMIT";
  bool HasLostLead =
      Session.Phase == 'T' && !Session.IsReadOnly && !Instance.IsPrimary;
  if ((Writes && (!Instance.IsPrimary || Session.IsReadOnly)) ||
      (HasLostLead && !(IsCommit && Session.Writes.empty()))) {
    if (IsCommit)
      Session.Phase = 'I';
    return fail(Instance, Session, "READONLY");
  }
  std::vector<std::string> Committed;
  if (Writes && Session.Phase == 'T')
    Session.Writes.push_back(Text);
  else if (Writes)
    Committed = {Text};
  if (IsCommit) {
    Committed = Session.Writes;
    Session.Writes.clear();
    Session.Phase = 'I';
  }
  record().line("run " + Instance.Id + " " + Session.Tenant + " " + Id + " " +
                Text);
  if (!Committed.empty() && !commit(Lock, Instance, Committed))
    return fail(Instance, Session, "TIMEOUT");
  std::string Rows = Writes || IsCommit ? "" : "ROW abc\r\n";
  return Rows + "COMPLETE r." + Instance.Id + "." + std::to_string(++Receipts) +
         "\r\n" + end(Instance, Session);
}

bool group_under_cut::commit(std::unique_lock<std::mutex> &Lock,
                             instance &Instance,
                             const std::vector<std::string> &Writes) {
  std::uint64_t Term = Instance.Term;
  for (const std::string &Write : Writes) {
    Instance.Log.push_back(Write);
    if (Instance.Term < LeaderTerm)
      CommittedLate.insert(Write);
  }
  std::size_t Size = Instance.Log.size();
  replicate();
  Changed.notify_all();
  auto IsReceived = [&] {
    int Count = 0;
    for (const auto &Other : Instances)
      Count += Other.get() != &Instance && !Other->IsGone &&
                       Other->Term == Term && Other->Log.size() >= Size &&
                       Other->Log[Size - 1] == Writes.back()
                   ? 1
                   : 0;
    return Count >= SyncReplicas;
  };
  auto HasLostLead = [&] {
    return !Instance.IsPrimary || Instance.Term != Term;
  };
  Changed.wait_for(Lock, 10s, [&] { return IsReceived() || HasLostLead(); });
  return IsReceived() && !HasLostLead();
}

void group_under_cut::replicate() {
  // A replica follows the primary of the highest term that it can reach.
  for (auto &Replica : Instances) {
    if (Replica->IsPrimary || Replica->IsGone)
      continue;
    instance *Leader = nullptr;
    for (auto &Instance : Instances)
      if (Instance->IsPrimary && Instance->Term >= Replica->Term &&
          !Deaf.contains({Instance->Id, Replica->Id}) &&
          (!Leader || Instance->Term > Leader->Term))
        Leader = Instance.get();
    if (!Leader || Replica->Held > Leader->Term)
      continue;
    Replica->Log = Leader->Log;
    Replica->Term = Leader->Term;
  }
}

int group_under_cut::promote(const std::string &Id) {
  {
    std::lock_guard Lock(Mutex);
    auto Found = std::ranges::find_if(
        Instances, [&](const auto &Instance) { return Instance->Id == Id; });
    if (Found == Instances.end() || (*Found)->IsGone)
      return 409;
    if ((*Found)->IsPrimary)
      return 200;
  }
  std::thread([this, Id] {
    std::this_thread::sleep_for(300ms);
    std::unique_lock Lock(Mutex);
    instance &Instance = of(Id);
    if (Instance.IsGone)
      return;
    Instance.IsPrimary = true;
    Instance.Term = ++LeaderTerm;
    Instance.Held = 0;
    PromotedAt = record().now();
    PromotedId = Id;
    PromotedLog = Instance.Log;
    record().line("promotion of " + Id + " takes effect, term " +
                  std::to_string(LeaderTerm) + ", " +
                  std::to_string(Instance.Log.size()) + " writes");
    replicate();
    Changed.notify_all();
    Lock.unlock();
    // An old primary continues until a second after it can reach the new one.
    std::this_thread::sleep_for(1000ms);
    while (true) {
      Lock.lock();
      for (auto &Other : Instances)
        if (Other->IsPrimary && Other->Term < Instance.Term &&
            !Deaf.contains({Id, Other->Id}))
          Other->IsPrimary = false;
      replicate();
      Changed.notify_all();
      Lock.unlock();
      std::this_thread::sleep_for(100ms);
    }
  }).detach();
  return 200;
}

double group_under_cut::promotedAt() {
  std::lock_guard Lock(Mutex);
  return PromotedAt;
}

std::string group_under_cut::promotedId() {
  std::lock_guard Lock(Mutex);
  return PromotedId;
}

std::set<std::string> group_under_cut::committedLate() {
  std::lock_guard Lock(Mutex);
  return CommittedLate;
}

std::vector<std::string>
group_under_cut::missing(const std::set<std::string> &Texts) {
  std::lock_guard Lock(Mutex);
  std::set<std::string> Held(PromotedLog.begin(), PromotedLog.end());
  std::vector<std::string> Result;
  for (const std::string &Text : Texts)
    if (!Held.contains(Text))
      Result.push_back(Text);
  return Result;
}

} // namespace review
