#include "radishrelay/daemon/request_forwarder.h"

#include "radishrelay/groups/transaction_reply.h"
#include "run_outcome.h"

#include <algorithm>
#include <utility>

namespace radishrelay::daemon {

namespace {

/// Set in the call numbers and connection numbers that this class assigns, to
/// keep them distinct from those of other classes, which count up from 1.
constexpr std::uint64_t ForwardedIdBit = std::uint64_t(1) << 63;

base::json requestBody(const caller_request &Request, base::time_point Now) {
  using std::chrono::milliseconds;
  base::json Body = base::json::object();
  Body["account"] = Request.account().str();
  Body["key_id"] = Request.Key ? Request.Key->KeyId : "";
  Body["operation"] = static_cast<int>(Request.Operation);
  Body["route"] = Request.Route ? Request.Route->Name : "";
  Body["parameters"] = base::json::array();
  for (const backend::sql_value &Value : Request.Parameters)
    Body["parameters"].push_back(Value ? base::json(*Value) : base::json());
  Body["idempotency_key"] = Request.IdempotencyKey;
  Body["session"] = Request.Session;
  Body["transaction"] = Request.Transaction;
  Body["remaining_ms"] =
      std::chrono::duration_cast<milliseconds>(Request.Deadline - Now).count();
  return Body;
}

caller_operation operationOf(int Number) {
  for (caller_operation Operation : {caller_operation::CommitTransaction,
                                     caller_operation::RollbackTransaction})
    if (static_cast<int>(Operation) == Number)
      return Operation;
  return caller_operation::RunRoute;
}

/// Throws base::json::exception when \p Body is malformed.
caller_request parseRequest(const base::json &Body,
                            const service_view_ptr &View,
                            base::time_point Now) {
  caller_request Request;
  Request.View = View;
  Request.IsForwarded = true;
  Request.Operation = operationOf(Body.at("operation").get<int>());
  Request.Key = accounts::verified_key{
      base::account_id(Body.at("account").get<std::string>()),
      Body.at("key_id").get<std::string>()};
  if (Request.Operation == caller_operation::RunRoute)
    Request.Route = View->Configuration.findRoute(
        Body.at("route").get_ref<const std::string &>());
  if (Request.Route)
    Request.Group = Request.Route->Group;
  for (const base::json &Value : Body.at("parameters"))
    Request.Parameters.push_back(
        Value.is_null() ? backend::sql_value()
                        : backend::sql_value(Value.get<std::string>()));
  Request.IdempotencyKey = Body.at("idempotency_key").get<std::string>();
  Request.Session = Body.at("session").get<std::string>();
  Request.Transaction = Body.at("transaction").get<std::string>();
  Request.ReceivedAt = Now;
  Request.Deadline = Now + std::chrono::milliseconds(
                               Body.at("remaining_ms").get<std::int64_t>());
  return Request;
}

/// Checks a forwarded request against this host's configuration, which may
/// differ from the forwarding host's for a few seconds.
std::optional<problem> findMismatch(const caller_request &Request) {
  if (!Request.View->Configuration.findAccount(Request.account().str()))
    return problem{problem_code::KeyInvalid,
                   groups::ran_state::No,
                   "the client account is unknown to the transaction's host",
                   "forward request",
                   "",
                   0};
  bool FitsRoute = Request.Operation != caller_operation::RunRoute ||
                   (Request.Route && Request.Route->Parameters.size() ==
                                         Request.Parameters.size());
  if (FitsRoute && !Request.Transaction.empty())
    return std::nullopt;
  return problem{problem_code::RouteUnknown,
                 groups::ran_state::No,
                 "the transaction's host does not know this form of the route",
                 "forward request",
                 "",
                 0};
}

base::json answerBody(const http_answer &Answer, base::time_point ReceivedAt) {
  base::json Body = base::json::object();
  Body["status"] = Answer.Status;
  Body["content_type"] = Answer.ContentType;
  Body["headers"] = base::json::array();
  for (const http_header &Header : Answer.Headers)
    Body["headers"].push_back({Header.Name, Header.Value});
  Body["body"] = Answer.Body;
  // The hosts' clocks are not comparable, so the validity is sent as a duration
  // since the arrival of the request. The other host adds it to the time at
  // which it sent the request, which is earlier, so the bound holds there.
  if (Answer.ValidUntil)
    Body["valid_for_us"] = (*Answer.ValidUntil - ReceivedAt).count();
  return Body;
}

/// Throws base::json::exception when \p Body is malformed.
http_answer parseAnswer(const base::json &Body, base::time_point SentAt) {
  http_answer Answer;
  Answer.Status = Body.at("status").get<int>();
  Answer.ContentType = Body.at("content_type").get<std::string>();
  for (const base::json &Header : Body.at("headers"))
    Answer.Headers.push_back(
        {Header.at(0).get<std::string>(), Header.at(1).get<std::string>()});
  Answer.Body = Body.at("body").get<std::string>();
  if (Body.contains("valid_for_us"))
    Answer.ValidUntil =
        SentAt + base::duration(Body.at("valid_for_us").get<std::int64_t>());
  return Answer;
}

} // namespace

bool request_forwarder::send(const std::string &Address,
                             const request_task_ptr &Task,
                             base::time_point Now) {
  std::uint64_t Id = ForwardedIdBit | ++LastCall;
  Sent.emplace(Id, sent_task{Task, Now});
  bool Submitted = Outputs.callPeer({Id, Address, peer_method::Forward,
                                     requestBody(Task->Request, Now),
                                     Task->Request.Deadline});
  if (!Submitted)
    Sent.erase(Id);
  return Submitted;
}

std::optional<request_forwarder::ended_task>
request_forwarder::finish(const peer_call_finished &Event) {
  auto Found = Sent.extract(Event.Id);
  if (!Found)
    return std::nullopt;
  sent_task &Entry = Found.mapped();
  // The other host may have received the request even if the call failed or
  // timed out.
  problem Unknown = detail::outcomeUnknownProblem("no answer from the host",
                                                  "forward request", "");
  if (!Event.Result) {
    Unknown.Peer = Event.Result.error().Peer;
    return ended_task{std::move(Entry.Task), problemAnswer(0, Unknown)};
  }
  try {
    return ended_task{Entry.Task, parseAnswer(*Event.Result, Entry.SentAt)};
  } catch (const base::json::exception &Error) {
    Unknown.Detail = "malformed answer of the host";
    return ended_task{std::move(Entry.Task), problemAnswer(0, Unknown)};
  }
}

std::optional<caller_request>
request_forwarder::accept(const peer_call_received &Call,
                          const service_view_ptr &View, base::time_point Now) {
  caller_connection_id Connection = ForwardedIdBit | ++LastReceived;
  Received.emplace(Connection, Call.Reply);
  problem Refusal{problem_code::BodyMalformed,
                  groups::ran_state::No,
                  "malformed forwarded request",
                  "forward request",
                  "",
                  0};
  if (View) {
    try {
      caller_request Request = parseRequest(Call.Parameters, View, Now);
      Request.Connection = Connection;
      std::optional<problem> Mismatch = findMismatch(Request);
      if (!Mismatch)
        return Request;
      Refusal = *Mismatch;
    } catch (const base::json::exception &Error) {
      Refusal.Detail = Error.what();
    }
  }
  replyToPeer(problemAnswer(Connection, Refusal), Now);
  return std::nullopt;
}

bool request_forwarder::replyToPeer(const http_answer &Answer,
                                    base::time_point ReceivedAt) {
  auto Found = Received.extract(Answer.Connection);
  if (!Found)
    return false;
  Outputs.replyToPeer(Found.mapped(), answerBody(Answer, ReceivedAt));
  return true;
}

} // namespace radishrelay::daemon
