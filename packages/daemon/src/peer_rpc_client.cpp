#include "radishrelay/daemon/peer_rpc_client.h"

#include "rpc_call.h"

#include "radishrelay/base/rendezvous.h"

#include <algorithm>

namespace radishrelay::daemon {

namespace {

constexpr std::size_t LaneCount = 4;
constexpr std::size_t CallsPerLane = 1024;
constexpr auto IdleWait = std::chrono::seconds(1);

std::string sealWith(const void *Context, const std::string &Body) {
  return static_cast<const peer_seal *>(Context)->codeOf(Body);
}

base::failure callFailure(const peer_call &Call, std::errc Error,
                          const std::string &Detail) {
  return {std::make_error_code(Error),
          "call " + std::string(methodName(Call.Method)), Call.Address, Detail};
}

base::expected<base::json> execute(const peer_call &Call,
                                   const peer_seal &Seal) {
  auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      Call.Deadline - base::monotonic_clock::now());
  if (Left.count() <= 0)
    return callFailure(Call, std::errc::timed_out,
                       "the deadline passed before the call was sent");
  detail::rpc_call_result Result = detail::callProcedure(
      Call.Address, std::string(methodName(Call.Method)),
      Call.Parameters.dump(), Left.count(), sealWith, &Seal);
  if (!Result.Succeeded)
    return callFailure(Call, std::errc::io_error, Result.Error);
  return base::json::parse(Result.Result, nullptr, false);
}

} // namespace

peer_rpc_client::lane::lane() : Calls(CallsPerLane) {}

peer_rpc_client::peer_rpc_client(peer_seal Seal, peer_result_sink Sink)
    : Seal(std::move(Seal)), Sink(std::move(Sink)) {
  for (std::size_t Index = 0; Index < LaneCount; ++Index)
    Lanes.push_back(std::make_unique<lane>());
  for (std::unique_ptr<lane> &Lane : Lanes)
    Lane->Thread = std::thread([this, &Lane] { run(*Lane); });
}

peer_rpc_client::~peer_rpc_client() { stop(); }

bool peer_rpc_client::call(peer_call &&Call) {
  std::size_t Index = base::stableHash(Call.Address) % Lanes.size();
  return Lanes[Index]->Calls.tryPush(std::move(Call));
}

void peer_rpc_client::stop() {
  for (std::unique_ptr<lane> &Lane : Lanes)
    Lane->Calls.close();
  for (std::unique_ptr<lane> &Lane : Lanes)
    if (Lane->Thread.joinable())
      Lane->Thread.join();
}

void peer_rpc_client::run(lane &Lane) {
  while (true) {
    std::optional<peer_call> Call =
        Lane.Calls.popUntil(base::monotonic_clock::now() + IdleWait);
    if (Call)
      Sink({Call->Id, execute(*Call, Seal)});
    else if (Lane.Calls.closed())
      return;
  }
}

} // namespace radishrelay::daemon
