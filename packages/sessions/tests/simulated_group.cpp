#include "support/simulated_group.h"

#include "support/fake_fleet.h"

#include <algorithm>

namespace radishrelay::sessions::tests {

namespace {

/// An old primary follows the new one this long after it can reach it.
constexpr base::duration FollowDelay = 1000ms;
constexpr base::duration TickInterval = 20ms;
constexpr base::duration StatementTime = 3ms;
constexpr base::duration MinSecondAnswerDelay = 20ms;
constexpr base::duration MaxSecondAnswerDelay = 400ms;
/// Share of the requests that a stuttering instance refuses as busy.
constexpr double BusyShare = 0.04;
constexpr double BusyBeginShare = 0.15;

bool isControl(backend_verb Verb) {
  return Verb == backend_verb::Status || Verb == backend_verb::Fence ||
         Verb == backend_verb::Demote || Verb == backend_verb::Unfence;
}

} // namespace

groups::log_position endOfLog(const simulated_instance &Instance) {
  return {Instance.Term, Instance.Log.size()};
}

simulated_group &simulated_groups::of(const base::instance_id &Id) const {
  return **std::ranges::find_if(
      All, [&](const auto &Group) { return Group->instances().contains(Id); });
}

simulated_group::simulated_group(event_queue &Queue, simulated_network &Network,
                                 base::random_generator &Random,
                                 const std::string &Name)
    : Queue(Queue), Network(Network), Random(Random), Group(Name) {
  Queue.scheduleIn(TickInterval, [this] { tick(); });
}

base::instance_id simulated_group::add(const std::string &Domain) {
  // The first group is "g", a further one "g7", with instances "i7-1".
  base::instance_id Id("i" + Group.str().substr(1) + "-" +
                       std::to_string(++LastInstance));
  Network.place(Id.str(), Domain);
  Network.markInstance(Id.str());
  simulated_instance &Instance = Instances[Id];
  Instance.Listing.Instance = Id;
  Instance.Listing.Group = Group;
  Instance.Listing.Address = Id.str() + ":1";
  Instance.Listing.Domain = base::failure_domain_id(Domain);
  Instance.Listing.StartedAt = base::toMicroseconds(Queue.now()) / 1000;
  Instance.ColdUntil = Queue.now() + ColdTime;
  Instance.FirstReportAt = Queue.now();
  if (MaxReportDelay > base::duration{})
    Instance.FirstReportAt += base::duration(static_cast<std::int64_t>(
        Random.below(static_cast<std::uint64_t>(MaxReportDelay.count()))));
  Instance.Term = LeaderTerm;
  if (Leader.empty()) {
    Leader = Id;
    Instance.Role = groups::instance_role::Primary;
  }
  return Id;
}

bool simulated_group::receives(const simulated_instance &Primary,
                               const simulated_instance &Replica) const {
  return Replica.IsRunning && Replica.Role == groups::instance_role::Replica &&
         Replica.Listing.Instance != Primary.Listing.Instance &&
         Replica.Term <= Primary.Term && Replica.FencedTerm <= Primary.Term &&
         Queue.now() >= Replica.DeafUntil &&
         Network.reaches(Primary.Listing.Instance.str(),
                         Replica.Listing.Instance.str());
}

bool simulated_group::holds(const simulated_instance &Instance,
                            const acknowledged_commit &Commit) const {
  return Instance.Log.size() >= Commit.LogSize &&
         Instance.Log[Commit.LogSize - 1].Write == Commit.Write;
}

void simulated_group::execute(const base::instance_id &Id,
                              const std::string &Connection,
                              const backend_request &Request,
                              const reply_function &Reply) {
  simulated_instance &Instance = Instances.at(Id);
  bool IsOpen = Transactions.contains(Connection);
  session_phase Phase =
      IsOpen ? session_phase::InTransaction : session_phase::Idle;
  if (refusesAsBusy(Instance, Request, IsOpen)) {
    backend_reply Busy = statusReply(Instance, Phase);
    Busy.Condition.reset();
    Busy.Error = refusal::Busy;
    Reply(Busy);
    return;
  }
  switch (Request.Verb) {
  case backend_verb::Forward:
  case backend_verb::Execute:
    runStatement(Instance, Connection, Request, Reply);
    return;
  case backend_verb::Begin:
  case backend_verb::BeginReadOnly: {
    backend_reply Answer = statusReply(Instance, session_phase::InTransaction);
    Answer.Condition.reset();
    if (Request.Verb == backend_verb::Begin &&
        Instance.Role == groups::instance_role::Replica) {
      Answer.Error = refusal::ReadOnly;
      Answer.Phase = session_phase::Idle;
    } else if (Request.After && endOfLog(Instance) < *Request.After) {
      Answer.Error = refusal::Lagging;
      Answer.Phase = session_phase::Idle;
    } else {
      Transactions[Connection] = 0;
    }
    Reply(Answer);
    return;
  }
  case backend_verb::Rollback:
    Transactions.erase(Connection);
    Phase = session_phase::Idle;
    break;
  case backend_verb::Fence:
    if (Instance.Role == groups::instance_role::Replica &&
        Request.Term > Instance.Term)
      Instance.FencedTerm = Request.Term;
    break;
  case backend_verb::Demote:
    if (Request.Term > Instance.Term)
      Instance.Role = groups::instance_role::Replica;
    break;
  case backend_verb::Unfence:
    Instance.FencedTerm = 0;
    break;
  default:
    break;
  }
  backend_reply Answer = statusReply(Instance, Phase);
  if (isControl(Request.Verb))
    Answer.Rows = {"status"};
  else
    Answer.Condition.reset();
  Reply(Answer);
}

backend_reply simulated_group::statusReply(const simulated_instance &Instance,
                                           session_phase Phase) const {
  backend_reply Answer;
  Answer.HasOutcome = true;
  Answer.Phase = Phase;
  Answer.Position = endOfLog(Instance);
  Answer.Condition = {Instance.Role, Instance.Term, endOfLog(Instance),
                      Instance.FencedTerm};
  return Answer;
}

void simulated_group::runStatement(simulated_instance &Instance,
                                   const std::string &Connection,
                                   const backend_request &Request,
                                   const reply_function &Reply) {
  statement Parsed = parse(Request.Text);
  auto Transaction = Transactions.find(Connection);
  bool IsOpen = Transaction != Transactions.end();
  backend_reply Answer = statusReply(Instance, session_phase::Idle);
  Answer.Condition.reset();
  if (Parsed.Kind == statement_kind::Read)
    Answer.Rows = {"row of " + Request.Id + " at " +
                   std::to_string(base::toMicroseconds(Queue.now()))};
  Answer.Receipt = Receipts.issue(Request.Id, Answer.Rows);
  if (IsOpen)
    Answer.Phase = session_phase::InTransaction;
  auto Later = [this, Reply](const backend_reply &Result) {
    Queue.scheduleIn(StatementTime, [Reply, Result] { Reply(Result); });
  };
  bool IsReplica = Instance.Role == groups::instance_role::Replica;
  if (Parsed.Kind == statement_kind::Read) {
    if (Request.After && endOfLog(Instance) < *Request.After)
      Answer.Error = refusal::Lagging;
    else
      checkRead(Instance, base::fromMicroseconds(std::stoll(Parsed.Value)));
    Later(Answer);
    return;
  }
  if (IsReplica) {
    Answer.Error = refusal::ReadOnly;
    Answer.Phase = session_phase::Idle;
    Transactions.erase(Connection);
    Later(Answer);
    return;
  }
  if (Parsed.Kind == statement_kind::Write && IsOpen) {
    Transaction->second = std::stoull(Parsed.Value);
    Later(Answer);
    return;
  }
  std::uint64_t Write = Parsed.Kind == statement_kind::Write
                            ? std::stoull(Parsed.Value)
                        : IsOpen ? Transaction->second
                                 : 0;
  Transactions.erase(Connection);
  Answer.Phase = session_phase::Idle;
  if (Write == 0)
    Later(Answer);
  else
    commit(Instance, Write, Answer, Reply);
}

void simulated_group::commit(simulated_instance &Primary, std::uint64_t Write,
                             backend_reply Reply, reply_function Answer) {
  if (!Committed.insert(Write).second)
    recordBroken("write " + std::to_string(Write) + " was run twice");
  if (Refused.contains(Write))
    recordBroken("write " + std::to_string(Write) +
                 " was refused as not run and then committed");
  Primary.Log.push_back({Primary.Term, Write});
  Reply.Position = endOfLog(Primary);
  Waiting.push_back({Primary.Log.size(), Primary.Run, Primary.Term,
                     Primary.Listing.Instance, std::move(Reply),
                     std::move(Answer)});
  replicate(Primary);
  if (SyncReplicas == 0)
    Queue.scheduleIn(StatementTime,
                     [this, Id = Primary.Listing.Instance, Run = Primary.Run,
                      Term = Primary.Term, Size = Primary.Log.size()] {
                       acknowledge(Id, Run, Term, Size);
                     });
}

void simulated_group::replicate(const simulated_instance &Primary) {
  for (const auto &[Id, Replica] : Instances) {
    if (!receives(Primary, Replica))
      continue;
    base::duration Latency =
        Network.latency(Primary.Listing.Instance.str(), Id.str());
    Queue.scheduleIn(Latency, [this, From = Primary.Listing.Instance,
                               FromRun = Primary.Run, To = Id,
                               ToRun = Replica.Run, Size = Primary.Log.size()] {
      deliver(From, FromRun, To, ToRun, Size);
    });
  }
}

void simulated_group::deliver(const base::instance_id &From,
                              std::uint64_t FromRun,
                              const base::instance_id &To, std::uint64_t ToRun,
                              std::size_t LogSize) {
  const simulated_instance &Primary = Instances.at(From);
  simulated_instance &Replica = Instances.at(To);
  bool IsCurrent = Primary.IsRunning && Primary.Run == FromRun &&
                   Replica.Run == ToRun &&
                   Primary.Role == groups::instance_role::Primary &&
                   Primary.Log.size() >= LogSize && receives(Primary, Replica);
  if (!IsCurrent)
    return;
  // Removes entries that the primary does not have, then copies the rest.
  std::size_t Common = std::min(Replica.Log.size(), LogSize);
  while (Common > 0 && !(Replica.Log[Common - 1] == Primary.Log[Common - 1]))
    --Common;
  if (Common < Replica.Log.size() && Replica.Term < Primary.Term)
    Replica.Log.resize(Common);
  Replica.Term = Primary.Term;
  if (Replica.Log.size() < LogSize)
    Replica.Log.insert(
        Replica.Log.end(),
        Primary.Log.begin() + static_cast<std::ptrdiff_t>(Replica.Log.size()),
        Primary.Log.begin() + static_cast<std::ptrdiff_t>(LogSize));
  Queue.scheduleIn(Network.latency(From.str(), To.str()),
                   [this, From, To, FromRun, Term = Primary.Term, LogSize] {
                     if (Network.reaches(To.str(), From.str()))
                       acknowledge(From, FromRun, Term, LogSize);
                   });
}

void simulated_group::acknowledge(const base::instance_id &Primary,
                                  std::uint64_t Run, groups::term_number Term,
                                  std::size_t LogSize) {
  const simulated_instance &Instance = Instances.at(Primary);
  bool Leads = Instance.IsRunning && Instance.Run == Run &&
               Instance.Term == Term &&
               Instance.Role == groups::instance_role::Primary;
  if (!Leads)
    return;
  std::vector<waiting_commit> Done;
  std::erase_if(Waiting, [&](waiting_commit &Commit) {
    bool IsDone = Commit.Primary == Primary && Commit.Run == Run &&
                  Commit.Term == Term && Commit.LogSize <= LogSize;
    if (IsDone)
      Done.push_back(Commit);
    return IsDone;
  });
  for (const waiting_commit &Commit : Done) {
    // A client that has given up is told nothing.
    if (!Commit.Answer(Commit.Reply))
      continue;
    std::uint64_t Write = Instance.Log[Commit.LogSize - 1].Write;
    AnsweredWrites[Write] = Commit.LogSize;
    // Such a commit is rolled back; it must not reach the client.
    if (Instance.Term < LeaderTerm)
      AcknowledgedLate.insert(Write);
  }
}

void simulated_group::recordAcknowledged(acknowledged_commit Commit) {
  bool IsLongest =
      Longest.empty() || Acknowledged[Longest.back()].LogSize <= Commit.LogSize;
  Acknowledged.push_back(Commit);
  Longest.push_back(IsLongest ? Acknowledged.size() - 1 : Longest.back());
}

void simulated_group::recordSucceeded(std::uint64_t Write) {
  if (AcknowledgedLate.contains(Write))
    recordBroken("a client was told of the commit of write " +
                 std::to_string(Write) + " by a replaced primary");
  auto Answered = AnsweredWrites.find(Write);
  if (Answered == AnsweredWrites.end())
    return;
  acknowledged_commit Commit{Queue.now(), Answered->second, Write};
  const simulated_instance &Primary = Instances.at(Leader);
  bool IsLost = Primary.IsRunning && !holds(Primary, Commit);
  if (IsLost && SyncReplicas > 0)
    recordBroken(
        "a client was told of the commit of write " + std::to_string(Write) +
        ", which is not in the log of the promoted instance " + Leader.str());
  if (!IsLost)
    recordAcknowledged(Commit);
}

void simulated_group::recordSuccess(const std::string &Id,
                                    const client_answer &Answer) {
  std::string Error = Receipts.errorIn(Id, Answer);
  if (!Error.empty())
    recordBroken(Error);
}

void simulated_group::stutter(const base::instance_id &Id,
                              const stutter_shares &Shares,
                              base::time_point Until) {
  simulated_instance &Instance = Instances.at(Id);
  Instance.StutterShares = Shares;
  Instance.StuttersUntil = Until;
}

std::optional<base::duration>
simulated_group::drawSecondAnswer(const base::instance_id &Id,
                                  backend_verb Verb) {
  const simulated_instance &Instance = Instances.at(Id);
  double Share = isControl(Verb) ? Instance.StutterShares.Control
                                 : Instance.StutterShares.Statements;
  if (Queue.now() >= Instance.StuttersUntil || !Random.chance(Share))
    return std::nullopt;
  auto Range = MaxSecondAnswerDelay - MinSecondAnswerDelay;
  return MinSecondAnswerDelay +
         base::duration(static_cast<std::int64_t>(
             Random.below(static_cast<std::uint64_t>(Range.count()))));
}

bool simulated_group::refusesAsBusy(const simulated_instance &Instance,
                                    const backend_request &Request,
                                    bool IsInTransaction) {
  bool MayRefuse = Queue.now() < Instance.StuttersUntil && !IsInTransaction &&
                   Request.Verb != backend_verb::Rollback &&
                   Request.Verb != backend_verb::Reset;
  return MayRefuse &&
         Random.chance(Request.Verb == backend_verb::Begin ? BusyBeginShare
                                                           : BusyShare);
}

void simulated_group::checkRead(const simulated_instance &Instance,
                                base::time_point Since) {
  auto First = std::ranges::lower_bound(Acknowledged, Since, {},
                                        &acknowledged_commit::At);
  if (First == Acknowledged.begin())
    return;
  auto Index = static_cast<std::size_t>(First - Acknowledged.begin() - 1);
  const acknowledged_commit &Newest = Acknowledged[Longest[Index]];
  if (!holds(Instance, Newest))
    recordBroken("a read on " + Instance.Listing.Instance.str() +
                 " missed the commit of write " + std::to_string(Newest.Write));
}

void simulated_group::recordRefused(std::uint64_t Write) {
  Refused.insert(Write);
  if (Committed.contains(Write))
    recordBroken("write " + std::to_string(Write) +
                 " was committed and then refused as not run");
}

std::size_t simulated_group::countColdArrival(const base::instance_id &Id) {
  simulated_instance &Instance = Instances.at(Id);
  std::deque<base::time_point> &Arrivals = Instance.ColdArrivals;
  while (!Arrivals.empty() && Arrivals.front() + 1s <= Queue.now())
    Arrivals.pop_front();
  if (Queue.now() >= Instance.ColdUntil)
    return 0;
  Arrivals.push_back(Queue.now());
  return Arrivals.size();
}

void simulated_group::crash(const base::instance_id &Id) {
  simulated_instance &Instance = Instances.at(Id);
  Instance.IsRunning = false;
  if (Trace)
    Trace("crashed " + Id.str());
  std::erase_if(Waiting, [&](const waiting_commit &Commit) {
    return Commit.Primary == Id;
  });
}

void simulated_group::restart(const base::instance_id &Id) {
  simulated_instance &Instance = Instances.at(Id);
  if (Instance.IsRunning || Instance.Log.empty())
    return;
  Instance.IsRunning = true;
  ++Instance.Run;
  Instance.FencedTerm = 0;
  Instance.ColdUntil = Queue.now() + ColdTime;
  Instance.SuccessorReachedAt.reset();
  Instance.Listing.StartedAt = base::toMicroseconds(Queue.now()) / 1000;
  if (Leader != Id)
    Instance.Role = groups::instance_role::Replica;
  if (Trace)
    Trace("restarted " + Id.str());
}

void simulated_group::end(const base::instance_id &Id) {
  crash(Id);
  Instances.at(Id).Log.clear();
}

void simulated_group::tick() {
  Queue.scheduleIn(TickInterval, [this] { tick(); });
  simulated_instance &Primary = Instances.at(Leader);
  for (auto &[Id, Instance] : Instances) {
    if (!Instance.IsRunning || Instance.Role != groups::instance_role::Primary)
      continue;
    // Lets replicas catch up that have missed entries.
    replicate(Instance);
    bool ReachesSuccessor = Id != Leader && Primary.IsRunning &&
                            Network.reaches(Id.str(), Leader.str());
    if (!ReachesSuccessor) {
      Instance.SuccessorReachedAt.reset();
      continue;
    }
    if (!Instance.SuccessorReachedAt)
      Instance.SuccessorReachedAt = Queue.now();
    if (Queue.now() >= *Instance.SuccessorReachedAt + FollowDelay)
      Instance.Role = groups::instance_role::Replica;
  }
}

} // namespace radishrelay::sessions::tests
