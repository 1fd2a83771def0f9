// Clients of a simulated host.
#include "support/fake_fleet.h"
#include "support/simulated_host.h"

#include <array>

namespace radishrelay::sessions::tests {

namespace {

constexpr base::duration ClientTimeout = 2000ms;

using enum client_step;
constexpr std::array Read{Reading};
constexpr std::array SingleWrite{Writing};
constexpr std::array WriteTransaction{Beginning, InWrite, Committing};
constexpr std::array ReadWriteTransaction{Beginning, InRead, InWrite,
                                          Committing};
constexpr std::array RolledBackTransaction{Beginning, InWrite, RollingBack};
constexpr std::array<std::span<const client_step>, 3> Transactions{
    WriteTransaction, ReadWriteTransaction, RolledBackTransaction};
constexpr double RollbackShare = 0.85;

/// Whether an answer to \p Step carries the receipt of an instance.
bool hasReceipt(client_step Step) {
  return Step != Beginning && Step != RollingBack;
}

} // namespace

void simulated_host::connectClient(std::size_t Index) {
  client &Client = Clients[Index];
  Client.Session = session_number{++LastSession};
  Client.Step = Idle;
  std::string Route = "primary";
  Client.Staleness = {};
  if (World.Habit != client_habit::Plain && World.Random.chance(0.5)) {
    Route = "recent";
    Client.Staleness = simulated_world::RecentStaleness;
  }
  const auto &Groups = World.Groups.all();
  Client.Group = Groups.front().get();
  if (Groups.size() > 1)
    Client.Group = Groups[World.Random.below(Groups.size())].get();
  if (Client.Group != Groups.front().get())
    Route += Client.Group->id().str();
  Engine->clientMessage(Client.Session, start_session{Route, "key-1"},
                        World.Queue.now());
  deliverIn(World.Load.Pause, [this, Index] { runClient(Index); });
}

void simulated_host::runClient(std::size_t Index) {
  client &Client = Clients[Index];
  if (Client.Step != Idle)
    return;
  Client.StartedAt = World.Queue.now();
  Client.Remaining = drawOperation();
  if (Client.Remaining.front() != Reading)
    Client.Write = ++World.LastWrite;
  sendNext(Index);
}

std::span<const client_step> simulated_host::drawOperation() {
  bool IsVaried = World.Habit != client_habit::Plain;
  if (World.Habit == client_habit::RollingBack &&
      World.Random.chance(RollbackShare))
    return RolledBackTransaction;
  std::uint64_t Choice = World.Random.below(10);
  if (Choice < 4)
    return Read;
  if (Choice < 8)
    return SingleWrite;
  return IsVaried ? Transactions.at(World.Random.below(Transactions.size()))
                  : WriteTransaction;
}

std::string simulated_host::textOf(const client &Client) {
  switch (Client.Step) {
  case Idle:
    break;
  case Reading:
  case InRead:
    return "read x " + std::to_string(base::toMicroseconds(Client.StartedAt -
                                                           Client.Staleness));
  case Writing:
  case InWrite:
    return "write x " + std::to_string(Client.Write);
  case Beginning:
    return "begin";
  case Committing:
    return "commit";
  case RollingBack:
    return "rollback";
  }
  return {};
}

void simulated_host::sendNext(std::size_t Index) {
  client &Client = Clients[Index];
  Client.Step = Client.Remaining.front();
  Client.Remaining = Client.Remaining.subspan(1);
  std::uint64_t Attempt = ++Client.Attempt;
  Client.Statement =
      Name + "/" + std::to_string(Index) + "/" + std::to_string(Attempt);
  Engine->clientMessage(Client.Session,
                        run_statement{Client.Statement, parse(textOf(Client))},
                        World.Queue.now());
  deliverIn(ClientTimeout, [this, Index, Attempt] {
    client &Late = Clients[Index];
    if (Late.Attempt != Attempt || Late.Step == Idle)
      return;
    Engine->clientDisconnected(Late.Session, World.Queue.now());
    connectClient(Index);
  });
}

simulated_host::client *simulated_host::clientOf(session_number Session,
                                                 std::size_t &Index) {
  for (Index = 0; Index < Clients.size(); ++Index)
    if (Clients[Index].Session == Session)
      return &Clients[Index];
  return nullptr;
}

void simulated_host::answer(session_number Session,
                            const client_answer &Answer) {
  deliverIn({}, [this, Session, Answer] {
    std::size_t Index = 0;
    if (clientOf(Session, Index))
      clientAnswered(Index, Answer);
  });
}

void simulated_host::clientAnswered(std::size_t Index,
                                    const client_answer &Answer) {
  client &Client = Clients[Index];
  if (Client.Step == Idle) {
    Client.Group->recordUnasked(Name);
    return;
  }
  if (Answer.Error) {
    if (clientRefused(Client, *Answer.Error)) {
      // Ends the failed transaction as a client would.
      Engine->clientDisconnected(Client.Session, World.Queue.now());
      connectClient(Index);
      return;
    }
  } else {
    clientSucceeded(Client, Answer);
    if (!Client.Remaining.empty()) {
      pauseAndSendNext(Index);
      return;
    }
  }
  Client.Step = Idle;
  deliverIn(World.Load.Pause, [this, Index] { runClient(Index); });
}

void simulated_host::pauseAndSendNext(std::size_t Index) {
  base::duration MaxPause = World.Load.MaxStatementPause;
  if (MaxPause <= base::duration{}) {
    sendNext(Index);
    return;
  }
  base::duration Pause(static_cast<std::int64_t>(
      World.Random.below(static_cast<std::uint64_t>(MaxPause.count()))));
  std::uint64_t Attempt = ++Clients[Index].Attempt;
  deliverIn(Pause, [this, Index, Attempt, Session = Clients[Index].Session] {
    // The session may have ended meanwhile.
    const client &Client = Clients[Index];
    if (Client.Session == Session && Client.Attempt == Attempt)
      sendNext(Index);
  });
}

bool simulated_host::clientRefused(const client &Client, refusal Reason) {
  if (guaranteesNoEffect(Reason) && Client.Step != Reading)
    Client.Group->recordRefused(Client.Write);
  ++World.WritesFailed;
  ++World.Refusals[Name];
  return Client.Step != Reading && Client.Step != Writing;
}

void simulated_host::clientSucceeded(const client &Client,
                                     const client_answer &Answer) {
  if (hasReceipt(Client.Step))
    Client.Group->recordSuccess(Client.Statement, Answer);
  if (Client.Step == RollingBack)
    Client.Group->recordRefused(Client.Write);
  if (Client.Step == Writing || Client.Step == Committing) {
    ++World.WritesDone;
    Client.Group->recordSucceeded(Client.Write);
  }
}

void simulated_host::reject(session_number Session, refusal,
                            const std::string &) {
  close(Session);
}

void simulated_host::close(session_number Session) {
  deliverIn(100ms, [this, Session] {
    std::size_t Index = 0;
    if (clientOf(Session, Index))
      connectClient(Index);
  });
}

} // namespace radishrelay::sessions::tests
