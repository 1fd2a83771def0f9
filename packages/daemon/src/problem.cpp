#include "radishrelay/daemon/problem.h"

#include <array>

namespace radishrelay::daemon {

namespace {

struct problem_row {
  problem_code Code;
  int Status;
  std::string_view Name;
  std::string_view Title;
};

constexpr std::array Rows{
    problem_row{problem_code::KeyMissing, 401, "key_missing",
                "A key is required"},
    problem_row{problem_code::KeyInvalid, 401, "key_invalid",
                "The key is not valid"},
    problem_row{problem_code::RouteForbidden, 403, "route_forbidden",
                "The client account may not use this route"},
    problem_row{problem_code::RouteUnknown, 404, "route_unknown",
                "There is no such route"},
    problem_row{problem_code::MethodNotAllowed, 405, "method_not_allowed",
                "The method is not allowed here"},
    problem_row{problem_code::BodyMalformed, 400, "body_malformed",
                "The request body is malformed"},
    problem_row{problem_code::ParametersInvalid, 400, "parameters_invalid",
                "The parameters do not fit the route"},
    problem_row{problem_code::BodyTooLarge, 413, "body_too_large",
                "The request body is too large"},
    problem_row{problem_code::HeaderTooLarge, 431, "header_too_large",
                "The request header is too large"},
    problem_row{problem_code::LengthRequired, 411, "length_required",
                "Content-Length is required"},
    problem_row{problem_code::SessionTokenInvalid, 400, "session_token_invalid",
                "The session token is not valid"},
    problem_row{problem_code::SessionHistoryLost, 409, "session_history_lost",
                "A failover lost data that the session had seen"},
    problem_row{problem_code::RateExceeded, 429, "rate_exceeded",
                "The client account's rate is exceeded"},
    problem_row{problem_code::QueueDeadline, 503, "queue_deadline",
                "The request cannot run before its deadline"},
    problem_row{problem_code::Overloaded, 503, "overloaded",
                "The host is overloaded"},
    problem_row{problem_code::NoPrimary, 503, "no_primary",
                "The database group has no primary"},
    problem_row{problem_code::NoFreshReplica, 503, "no_fresh_replica",
                "No instance is fresh enough"},
    problem_row{problem_code::ConfigurationStale, 503, "configuration_stale",
                "The host cannot prove that its configuration is recent"},
    problem_row{problem_code::Draining, 503, "draining",
                "The host is shutting down"},
    problem_row{problem_code::OutcomeUnknown, 504, "outcome_unknown",
                "It is not known whether the request ran"},
    problem_row{problem_code::StatementFailed, 422, "statement_failed",
                "The backend server refused the statement"},
    problem_row{problem_code::IdempotencyKeyReused, 422,
                "idempotency_key_reused",
                "The idempotency key was used with another request"},
    problem_row{problem_code::TransactionLost, 410, "transaction_lost",
                "The transaction no longer exists"},
};

const problem_row &rowOf(problem_code Code) {
  for (const problem_row &Row : Rows)
    if (Row.Code == Code)
      return Row;
  return Rows.front();
}

} // namespace

int httpStatus(problem_code Code) { return rowOf(Code).Status; }

std::string_view codeName(problem_code Code) { return rowOf(Code).Name; }

base::json toJson(const problem &Problem) {
  const problem_row &Row = rowOf(Problem.Code);
  base::json Body = base::json::object();
  Body["type"] = "urn:radishrelay:problem:" + std::string(Row.Name);
  Body["title"] = Row.Title;
  Body["status"] = Row.Status;
  if (!Problem.Detail.empty())
    Body["detail"] = Problem.Detail;
  Body["code"] = Row.Name;
  Body["ran"] = groups::toString(Problem.Ran);
  if (!Problem.Step.empty())
    Body["step"] = Problem.Step;
  if (!Problem.Peer.empty())
    Body["peer"] = Problem.Peer;
  return Body;
}

} // namespace radishrelay::daemon
