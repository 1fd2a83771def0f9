#include "radishrelay/groups/request_statements.h"

namespace radishrelay::groups::request_statements {

sql_statement createTable() {
  return {"CREATE TABLE IF NOT EXISTS radishrelay_requests("
          "account TEXT NOT NULL, request_key TEXT NOT NULL, "
          "route TEXT NOT NULL, body_digest TEXT NOT NULL, "
          "answer TEXT NOT NULL, created_at_ms BIGINT NOT NULL, "
          "PRIMARY KEY (account, request_key))",
          {}};
}

sql_statement begin() { return {"BEGIN", {}}; }

sql_statement commit() { return {"COMMIT", {}}; }

sql_statement rollback() { return {"ROLLBACK", {}}; }

sql_statement groupStatus() { return {"SELECT group_status()", {}}; }

sql_statement insert(const keyed_request &Request) {
  return {"INSERT INTO radishrelay_requests(account, request_key, route, "
          "body_digest, answer, created_at_ms) VALUES ($1,$2,$3,$4,$5,$6)",
          {Request.Account.str(), Request.Key, Request.Route,
           Request.BodyDigest, "", std::to_string(Request.ReceivedAtMs)}};
}

sql_statement recordAnswer(const keyed_request &Request,
                           const std::string &Answer) {
  return {"UPDATE radishrelay_requests SET answer = $3 "
          "WHERE account = $1 AND request_key = $2",
          {Request.Account.str(), Request.Key, Answer}};
}

sql_statement select(const keyed_request &Request) {
  return {"SELECT route, body_digest, answer FROM radishrelay_requests "
          "WHERE account = $1 AND request_key = $2",
          {Request.Account.str(), Request.Key}};
}

sql_statement purge(std::int64_t NowMs) {
  using std::chrono::milliseconds;
  std::int64_t RetentionMs = milliseconds(RequestRetention).count();
  return {"DELETE FROM radishrelay_requests WHERE created_at_ms < $1",
          {std::to_string(NowMs - RetentionMs)}};
}

} // namespace radishrelay::groups::request_statements
