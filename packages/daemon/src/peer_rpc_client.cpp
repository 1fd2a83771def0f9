#include "radishrelay/daemon/peer_rpc_client.h"

#include "rpc_call.h"

#include "radishrelay/base/rendezvous.h"

#include <algorithm>

namespace radishrelay::daemon {

namespace {

constexpr std::size_t WorkerCount = 4;
constexpr std::size_t MaxQueuedCallsPerWorker = 1024;
/// Interval at which an idle thread checks whether it must stop.
constexpr auto IdleWait = std::chrono::seconds(1);

/// Implements rpc_authentication_function; \p Context is a peer_authenticator.
std::string computeCode(const void *Context, const std::string &Body) {
  return static_cast<const peer_authenticator *>(Context)->authenticationCode(
      Body);
}

base::failure callFailure(const peer_call &Call, std::errc Error,
                          const std::string &Detail) {
  return {std::make_error_code(Error),
          "call " + std::string(methodName(Call.Method)), Call.Address, Detail};
}

base::expected<base::json> execute(const peer_call &Call,
                                   const peer_authenticator &Authenticator) {
  auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      Call.Deadline - base::monotonic_clock::now());
  if (Left.count() <= 0)
    return callFailure(Call, std::errc::timed_out,
                       "the deadline passed before the call was sent");
  detail::rpc_call_result Result = detail::callProcedure(
      Call.Address, std::string(methodName(Call.Method)),
      Call.Parameters.dump(), Left.count(), computeCode, &Authenticator);
  if (!Result.Succeeded)
    return callFailure(Call, std::errc::io_error, Result.Error);
  return base::json::parse(Result.Result, nullptr, false);
}

} // namespace

peer_rpc_client::worker::worker() : Calls(MaxQueuedCallsPerWorker) {}

peer_rpc_client::peer_rpc_client(peer_authenticator Authenticator,
                                 peer_result_sink Sink)
    : Authenticator(std::move(Authenticator)), Sink(std::move(Sink)) {
  for (std::size_t Index = 0; Index < WorkerCount; ++Index)
    Workers.push_back(std::make_unique<worker>());
  for (std::unique_ptr<worker> &Worker : Workers)
    Worker->Thread = std::thread([this, &Worker] { run(*Worker); });
}

peer_rpc_client::~peer_rpc_client() { stop(); }

bool peer_rpc_client::call(peer_call &&Call) {
  std::size_t Index = base::stableHash(Call.Address) % Workers.size();
  return Workers[Index]->Calls.tryPush(std::move(Call));
}

void peer_rpc_client::stop() {
  for (std::unique_ptr<worker> &Worker : Workers)
    Worker->Calls.close();
  for (std::unique_ptr<worker> &Worker : Workers)
    if (Worker->Thread.joinable())
      Worker->Thread.join();
}

void peer_rpc_client::run(worker &Worker) {
  while (true) {
    std::optional<peer_call> Call =
        Worker.Calls.popUntil(base::monotonic_clock::now() + IdleWait);
    if (Call)
      Sink({Call->Id, execute(*Call, Authenticator)});
    else if (Worker.Calls.closed())
      return;
  }
}

} // namespace radishrelay::daemon
