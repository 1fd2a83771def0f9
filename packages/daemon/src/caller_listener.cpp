#include "radishrelay/daemon/caller_listener.h"

#include "radishrelay/base/log.h"

#include <Poco/Exception.h>

namespace radishrelay::daemon {

namespace {

constexpr std::uint64_t AcceptTag = 0;
constexpr int MaxAcceptsPerWakeUp = 64;
constexpr int PollMilliseconds = 100;

/// Replaces an answer whose evidence has expired by "outcome unknown". A
/// process that was paused after the decision could otherwise acknowledge a
/// write on expired evidence.
void replaceIfExpired(http_answer &Answer) {
  if (!Answer.ValidUntil || base::monotonic_clock::now() < *Answer.ValidUntil)
    return;
  Answer = problemAnswer(
      Answer.Connection,
      {problem_code::OutcomeUnknown, groups::ran_state::Unknown,
       "the evidence ended before the answer was sent", "send answer", "", 0});
}

} // namespace

caller_listener::caller_listener(const Poco::Net::ServerSocket &Socket,
                                 request_handler OnRequest,
                                 disconnect_handler OnDisconnect)
    : Socket(Socket), Port(this->Socket.address().port()),
      OnRequest(std::move(OnRequest)), OnDisconnect(std::move(OnDisconnect)) {
  this->Socket.setBlocking(false);
  Readiness.add(this->Socket.impl()->sockfd(), AcceptTag, readiness::Read);
}

caller_listener::~caller_listener() { stop(base::monotonic_clock::now()); }

void caller_listener::start() {
  Thread = std::thread([this] { run(); });
}

void caller_listener::sendAnswer(http_answer &&Answer) {
  // Each open connection has at most one answer, so the ring is full only if
  // there are more open connections than AnswerRingSize. Blocking then slows
  // down the thread that produces the answers.
  Answers.pushUntil(std::move(Answer),
                    base::monotonic_clock::now() + std::chrono::seconds(1));
  Readiness.wakeUp();
}

void caller_listener::stopAccepting() {
  Accepting = false;
  Readiness.wakeUp();
}

void caller_listener::stop(base::time_point Deadline) {
  stopAccepting();
  StopDeadline = base::toMicroseconds(Deadline);
  Stopping = true;
  Readiness.wakeUp();
  if (Thread.joinable())
    Thread.join();
}

void caller_listener::run() {
  while (!hasFinished()) {
    for (const ready_descriptor &Descriptor : Readiness.wait(PollMilliseconds))
      handleReady(Descriptor);
    writeAnswers();
    if (!Accepting && SocketOpen) {
      SocketOpen = false;
      Readiness.remove(Socket.impl()->sockfd());
      Socket.close();
    }
  }
}

bool caller_listener::hasFinished() const {
  if (!Stopping)
    return false;
  if (base::toMicroseconds(base::monotonic_clock::now()) >= StopDeadline)
    return true;
  for (const auto &[Id, Connection] : Connections)
    if (Connection->hasRunningRequest() || Connection->hasOutput())
      return false;
  return true;
}

void caller_listener::handleReady(const ready_descriptor &Descriptor) {
  if (Descriptor.Tag == AcceptTag) {
    accept();
    return;
  }
  auto Found = Connections.find(Descriptor.Tag);
  if (Found == Connections.end())
    return;
  caller_connection_ptr Connection = Found->second;
  if (Descriptor.Writable)
    writeTo(*Connection);
  if (Descriptor.Readable && Connections.count(Descriptor.Tag))
    receiveFrom(*Connection);
}

void caller_listener::accept() {
  for (int Count = 0; Count < MaxAcceptsPerWakeUp && SocketOpen; ++Count) {
    try {
      Poco::Net::StreamSocket Accepted = Socket.acceptConnection();
      Accepted.setBlocking(false);
      Accepted.setNoDelay(true);
      caller_connection_id Id = NextConnection++;
      caller_connection_ptr Connection(new caller_connection(Id, Accepted));
      Readiness.add(Connection->descriptor(), Id, readiness::Read);
      Connections.emplace(Id, std::move(Connection));
      OpenCount = Connections.size();
    } catch (const Poco::Exception &) {
      // No pending connection is left, or the peer has already disconnected.
      return;
    }
  }
}

void caller_listener::receiveFrom(caller_connection &Connection) {
  caller_connection::progress Progress = Connection.receive();
  if (Progress == caller_connection::progress::Closed) {
    close(Connection);
    return;
  }
  serve(Connection);
}

void caller_listener::serve(caller_connection &Connection) {
  // A loop instead of recursion, since a caller may have pipelined thousands of
  // requests.
  while (serveNext(Connection)) {
  }
  writeTo(Connection);
}

bool caller_listener::serveNext(caller_connection &Connection) {
  parsed_input Input = Connection.takeRequest();
  if (auto *Problem = std::get_if<problem>(&Input)) {
    http_answer Answer = problemAnswer(Connection.id(), *Problem);
    Answer.CloseConnection = true;
    Connection.queueAnswer(Answer);
    return false;
  }
  auto *Request = std::get_if<http_request>(&Input);
  if (!Request)
    return false;
  std::optional<http_answer> Answer = OnRequest(std::move(*Request));
  if (!Answer)
    return false;
  Answer->CloseConnection = Answer->CloseConnection || !Accepting;
  Connection.queueAnswer(*Answer);
  return true;
}

void caller_listener::writeAnswers() {
  while (std::optional<http_answer> Answer = Answers.tryPop()) {
    auto Found = Connections.find(Answer->Connection);
    if (Found == Connections.end())
      continue;
    caller_connection_ptr Connection = Found->second;
    replaceIfExpired(*Answer);
    Answer->CloseConnection = Answer->CloseConnection || !Accepting;
    Connection->queueAnswer(*Answer);
    serve(*Connection);
  }
}

void caller_listener::writeTo(caller_connection &Connection) {
  caller_connection::progress Progress = Connection.flush();
  bool Finished = Progress == caller_connection::progress::Done &&
                  Connection.closesAfterOutput();
  if (Finished || Progress == caller_connection::progress::Closed) {
    close(Connection);
    return;
  }
  Connection.setBlockedOnWrite(Progress ==
                               caller_connection::progress::Blocked);
  readiness Wanted = Connection.wantedReadiness();
  if (Wanted == Connection.watched())
    return;
  Connection.setWatched(Wanted);
  Readiness.change(Connection.descriptor(), Connection.id(), Wanted);
}

void caller_listener::close(caller_connection &Connection) {
  caller_connection_id Id = Connection.id();
  Readiness.remove(Connection.descriptor());
  if (Connection.hasRunningRequest())
    OnDisconnect(Id);
  Connections.erase(Id);
  OpenCount = Connections.size();
}

} // namespace radishrelay::daemon
