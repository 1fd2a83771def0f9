#include "measurements.h"
#include "resources.h"

#include "radishrelay/accounts/key_creation.h"
#include "radishrelay/accounts/key_verifier.h"
#include "radishrelay/base/digest.h"
#include "radishrelay/groups/fair_queue.h"
#include "radishrelay/groups/read_router.h"
#include "radishrelay/groups/session_token_codec.h"
#include "radishrelay/groups/stored_term_majority_strategy.h"
#include "radishrelay/groups/write_tracker.h"

#include <stdexcept>

namespace radishrelay::bench {

using namespace groups;
using namespace std::chrono_literals;

namespace {

constexpr base::time_point Start = base::fromMicroseconds(1'000'000);

base::instance_id instanceName(std::size_t Index) {
  return base::instance_id("instance-" + std::to_string(Index));
}

void require(bool Condition, const char *Step) {
  if (!Condition)
    throw std::runtime_error(Step);
}

slope measureKeys() {
  slope Result("key verification", "us", "keys");
  for (std::size_t Size : {8U, 100U, 1000U, 10000U}) {
    std::vector<accounts::key_record> Records;
    std::vector<std::string> Texts;
    for (std::size_t Index = 0; Index < Size; ++Index) {
      auto Key = accounts::createKey(
          base::account_id("account-" + std::to_string(Index)),
          "k" + std::to_string(Index),
          std::string(accounts::KeyRandomBytes, static_cast<char>(Index)));
      require(bool(Key), "create a key");
      Records.push_back(Key->Record);
      Texts.push_back(Key->Text);
    }
    auto Verifier = accounts::key_verifier::create(Records);
    double Cost = microsecondsPerCall(10'000, [&](std::size_t Index) {
      require(bool(Verifier->verify(Texts[Index * 7919 % Size])),
              "verify a key");
    });
    Result.add(static_cast<double>(Size), Cost);
  }
  return Result;
}

slope measureTokens() {
  slope Result("session token, decode and encode", "us", "groups in token");
  const signing_key Key{"s1", "a secret of some length for the token"};
  session_token_codec Tokens(std::vector<signing_key>{Key});
  for (std::size_t Size : {1U, 4U, 8U, 16U}) {
    session_positions State;
    State.Account = base::account_id("installers");
    for (std::size_t Index = 0; Index < Size; ++Index)
      State.merge(base::group_id("permits-" + std::to_string(Index)),
                  {3, 100'000 + Index});
    std::string Text = *Tokens.encode(State);
    double Cost = microsecondsPerCall(10'000, [&](std::size_t) {
      auto Decoded = Tokens.decode(Text, State.Account);
      require(bool(Decoded), "decode the token");
      Text = *Tokens.encode(*Decoded);
    });
    Result.add(static_cast<double>(Size), Cost);
  }
  return Result;
}

slope measureReads() {
  slope Result("read decision", "us", "instances");
  for (std::size_t Size : {3U, 5U, 7U, 9U}) {
    read_router Router;
    for (std::size_t Index = 0; Index < Size; ++Index) {
      instance_status Status;
      Status.Role =
          Index == 0 ? instance_role::Primary : instance_role::Replica;
      Status.Position = {3, 1000};
      Status.RaisedTerm = 3;
      Status.TermStarts = {{1, 0}, {2, 100}, {3, 500}};
      Status.AppliedAge = 5ms;
      Router.setInstance(instanceName(Index), 1ms);
      Router.observe(instanceName(Index), {Status, Start});
    }
    read_request Request;
    Request.Required.Position = {3, 900};
    Request.Deadline = Start + 5s;
    double Cost = microsecondsPerCall(10'000, [&](std::size_t) {
      auto Decision = Router.choose(Request, Start + 1ms);
      require(std::holds_alternative<run_read>(Decision), "choose an instance");
    });
    Result.add(static_cast<double>(Size), Cost);
  }
  return Result;
}

instance_answer answerTo(const instance_call &Call, log_position Position,
                         base::time_point Now) {
  instance_answer Answer;
  Answer.Call = Call;
  Answer.Outcome = call_outcome::Done;
  Answer.Status = instance_status{
      instance_role::Replica, Position, Position.Term, {{3, 500}}, {}};
  Answer.AskedAt = Now;
  return Answer;
}

/// Commits \p Batch writes and answers the status calls; returns the number
/// of acknowledged writes.
std::size_t acknowledgeBatch(write_tracker &Tracker, std::size_t Batch,
                             write_id &Last, base::time_point Now) {
  std::vector<instance_call> Calls;
  std::size_t Acknowledged = 0;
  auto Take = [&](const std::vector<write_action> &Actions) {
    for (const write_action &Action : Actions) {
      if (const auto *Call = std::get_if<instance_call>(&Action))
        Calls.push_back(*Call);
      Acknowledged += std::holds_alternative<acknowledge_write>(Action) ? 1 : 0;
    }
  };
  for (std::size_t Index = 0; Index < Batch; ++Index) {
    ++Last;
    Take(Tracker.handle(committed_write{Last, {3, 1000 + Last}, Now, Now + 1s},
                        Now));
  }
  base::time_point Later = Now + 2ms;
  Take(Tracker.handle(time_passed{}, Later));
  std::vector<instance_call> Asked = std::move(Calls);
  Calls.clear();
  for (const instance_call &Call : Asked)
    Take(Tracker.handle(answerTo(Call, {3, 1000 + Last}, Later), Later + 1ms));
  return Acknowledged;
}

slope measureWrites() {
  slope Result("write acknowledgement, per write", "us", "writes at once");
  for (std::size_t Size : {1U, 8U, 64U, 256U}) {
    write_tracker Tracker({}, std::make_shared<stored_term_majority_strategy>(),
                          {instanceName(0), instanceName(1), instanceName(2)});
    write_id Last = 0;
    base::time_point Now = Start;
    double Cost = microsecondsPerCall(100, [&](std::size_t) {
      Now += 10ms;
      require(acknowledgeBatch(Tracker, Size, Last, Now) == Size,
              "acknowledge the writes");
    });
    Result.add(static_cast<double>(Size), Cost / static_cast<double>(Size));
  }
  return Result;
}

slope measureQueueMemory() {
  slope Result("memory of queued requests", "bytes", "requests");
  fair_queue_options Options;
  Options.Capacity = 200'000;
  fair_queue Queue(Options);
  Queue.setConcurrency(1'000'000);
  double Before = residentBytes();
  std::uint64_t Id = 0;
  for (std::size_t Size : {10'000U, 20'000U, 50'000U, 100'000U}) {
    while (Queue.size() < Size) {
      queued_request Request;
      Request.Id = ++Id;
      Request.Account = base::account_id("account-" + std::to_string(Id % 8));
      Request.Cost = 10us;
      Request.Deadline = Start + 10h;
      require(
          std::holds_alternative<admitted_to_queue>(Queue.push(Request, Start)),
          "queue a request");
    }
    Result.add(static_cast<double>(Size), residentBytes() - Before);
  }
  return Result;
}

slope measureQueueWork() {
  slope Result("fair queue, push and pop", "us", "requests waiting");
  for (std::size_t Size : {10U, 100U, 1000U, 9000U}) {
    fair_queue Queue;
    Queue.setConcurrency(1'000'000);
    std::uint64_t Id = 0;
    auto Push = [&] {
      ++Id;
      Queue.push({Id, base::account_id("account-" + std::to_string(Id % 8)),
                  10us, Start + 10h},
                 Start);
    };
    while (Queue.size() < Size)
      Push();
    Result.add(static_cast<double>(Size),
               microsecondsPerCall(50'000, [&](std::size_t) {
                 require(Queue.pop(Start).has_value(), "take a request");
                 Push();
               }));
  }
  return Result;
}

} // namespace

slopes measureRequests() {
  return {measureQueueMemory(), measureQueueWork(), measureKeys(),
          measureTokens(),      measureReads(),     measureWrites()};
}

} // namespace radishrelay::bench
