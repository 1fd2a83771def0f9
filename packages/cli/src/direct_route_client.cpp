#include "direct_route_client.h"

#include "load_configuration.h"

#include <Poco/NumberParser.h>

#include <array>
#include <stdexcept>

namespace radishrelay::cli {

namespace {

struct result_closer {
  void operator()(PGresult *Result) const { PQclear(Result); }
};
using result = std::unique_ptr<PGresult, result_closer>;

result runStatement(PGconn *Connection, const route_call &Call) {
  std::string Text =
      isRead(Call.Kind) ? loadReadStatement() : loadWriteStatement();
  std::array<const char *, 2> Values{Call.Id.c_str(), Call.Subject.c_str()};
  return result(PQexecParams(Connection, Text.c_str(),
                             static_cast<int>(Values.size()), nullptr,
                             Values.data(), nullptr, nullptr, 0));
}

} // namespace

direct_route_client::direct_route_client(
    const std::vector<direct_group> &Groups) {
  for (const direct_group &Group : Groups)
    this->Groups.push_back({open(Group.Primary), open(Group.Replica)});
}

direct_route_client::connection
direct_route_client::open(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  std::string Text = "host=" + Address.substr(0, Colon) +
                     " port=" + Address.substr(Colon + 1) +
                     " user=radishrelay dbname=radishrelay sslmode=disable "
                     "gssencmode=disable connect_timeout=5";
  connection Connection(PQconnectdb(Text.c_str()));
  if (PQstatus(Connection.get()) != CONNECTION_OK)
    throw std::runtime_error("connect to " + Address + ": " +
                             PQerrorMessage(Connection.get()));
  return Connection;
}

route_answer direct_route_client::call(const route_call &Call) {
  constexpr int HttpOk = 200;
  group_connections &Group = Groups[Call.Group];
  bool UsesReplica = Call.Kind == request_kind::Read;
  result Result =
      runStatement((UsesReplica ? Group.Replica : Group.Primary).get(), Call);
  route_answer Answer;
  if (PQresultStatus(Result.get()) != PGRES_TUPLES_OK ||
      PQntuples(Result.get()) != 1) {
    const char *State = PQresultErrorField(Result.get(), PG_DIAG_SQLSTATE);
    Answer.Code = State ? State : "connection_lost";
    return Answer;
  }
  Answer.Status = HttpOk;
  Answer.Ran = groups::ran_state::Yes;
  Answer.ServedBy = UsesReplica ? "role=replica" : "role=primary";
  Answer.Echo = PQgetvalue(Result.get(), 0, 0);
  Poco::Int64 Found = 0;
  if (isRead(Call.Kind) &&
      Poco::NumberParser::tryParse64(PQgetvalue(Result.get(), 0, 1), Found))
    Answer.Found = Found;
  return Answer;
}

} // namespace radishrelay::cli
