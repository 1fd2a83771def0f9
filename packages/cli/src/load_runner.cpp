#include "load_runner.h"

#include <algorithm>

namespace radishrelay::cli {

namespace {

constexpr int MostAttempts = 3;

/// A refused connection ran nothing; the platform's balancer would have chosen
/// another host. A keyed write keeps its key, so that it takes effect once.
bool mayRepeat(const route_answer &Answer, request_kind Kind) {
  if (Answer.Code == ConnectionRefused)
    return true;
  return Answer.Ran == groups::ran_state::Unknown &&
         Kind == request_kind::KeyedWrite;
}

} // namespace

load_runner::load_runner(runner_options Options, client_factory MakeClient)
    : Options(std::move(Options)), MakeClient(std::move(MakeClient)),
      Sessions(this->Options.Accounts.size() *
               this->Options.Arrivals.SessionsPerAccount),
      Arrivals(this->Options.Arrivals), Records(this->Options.Workers) {}

load_runner::~load_runner() {
  for (std::thread &Thread : Threads)
    if (Thread.joinable())
      Thread.join();
}

void load_runner::start() {
  // Connections are opened before the clock starts.
  for (std::size_t Worker = 0; Worker < Options.Workers; ++Worker)
    Clients.push_back(MakeClient());
  StartedAt = base::monotonic_clock::now();
  for (std::size_t Worker = 0; Worker < Options.Workers; ++Worker)
    Threads.emplace_back([this, Worker] { work(Worker); });
}

std::optional<planned_request> load_runner::takeNext() {
  std::lock_guard Guard(ArrivalsMutex);
  return Arrivals.next();
}

void load_runner::work(std::size_t Worker) {
  while (auto Plan = takeNext()) {
    base::duration Wait = StartedAt + Plan->At - base::monotonic_clock::now();
    if (Wait > base::duration::zero())
      std::this_thread::sleep_for(Wait);
    Records[Worker].push_back(send(*Clients[Worker], *Plan));
    ++Answered;
    if (!succeeded(Records[Worker].back()))
      ++Failed;
  }
}

route_answer load_runner::callRepeatedly(route_client &Client,
                                         route_call Call) const {
  bool WasUnknown = false;
  route_answer Answer;
  for (int Attempt = 0; Attempt < MostAttempts; ++Attempt) {
    Answer = Client.call(Call);
    WasUnknown = WasUnknown || Answer.Ran == groups::ran_state::Unknown;
    if (!mayRepeat(Answer, Call.Kind))
      break;
    Call.Host = (Call.Host + 1) % Options.Arrivals.Hosts;
  }
  // "Not run" of a repetition says nothing about the attempt before it.
  if (WasUnknown && Answer.Ran == groups::ran_state::No)
    Answer.Ran = groups::ran_state::Unknown;
  return Answer;
}

request_record load_runner::send(route_client &Client,
                                 const planned_request &Plan) {
  session_state State = Sessions.stateOf(Plan.Session);
  request_record Record;
  Record.Plan = Plan;
  Record.Id = Options.IdPrefix + std::to_string(Plan.Number);
  bool Reads = isRead(Plan.Kind);
  Record.Subject = Reads ? State.LastWrite : "";
  std::string Second =
      Reads ? State.LastWrite : "session-" + std::to_string(Plan.Session);
  Record.Sent = base::monotonic_clock::now() - StartedAt;
  route_answer Answer =
      callRepeatedly(Client, {Plan.Host, Plan.Group, Plan.Kind,
                              Options.Accounts[Plan.Account].Key, State.Token,
                              Record.Id, Second});
  Record.Done = base::monotonic_clock::now() - StartedAt;
  Record.Status = Answer.Status;
  Record.Code = Answer.Code;
  Record.Ran = Answer.Ran;
  Record.ServedBy = Answer.ServedBy;
  Record.Echo = Answer.Echo;
  Record.Found = Answer.Found;
  if (!succeeded(Record))
    return Record;
  if (Reads)
    Sessions.endRead(Plan.Session, Answer.Token, State.Changes);
  else
    Sessions.endWrite(Plan.Session, Answer.Token, Record.Id);
  return Record;
}

std::vector<request_record> load_runner::finish() {
  for (std::thread &Thread : Threads)
    Thread.join();
  std::vector<request_record> All;
  for (std::vector<request_record> &Part : Records)
    std::move(Part.begin(), Part.end(), std::back_inserter(All));
  std::sort(All.begin(), All.end(), [](const auto &Left, const auto &Right) {
    return Left.Plan.Number < Right.Plan.Number;
  });
  return All;
}

} // namespace radishrelay::cli
