#include "blocking_load.h"

#include "radishrelay/base/monotonic_clock.h"

#include <libpq-fe.h>

#include <future>
#include <memory>
#include <stdexcept>
#include <vector>

namespace radishrelay::bench {

namespace {

struct finish_connection {
  void operator()(PGconn *Connection) const { PQfinish(Connection); }
};
using connection = std::unique_ptr<PGconn, finish_connection>;

connection connectTo(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  std::string Settings =
      "user=bench dbname=bench sslmode=disable "
      "gssencmode=disable passfile=/dev/null/none hostaddr=" +
      Address.substr(0, Colon) + " port=" + Address.substr(Colon + 1);
  connection Connection(PQconnectdb(Settings.c_str()));
  if (PQstatus(Connection.get()) != CONNECTION_OK)
    throw std::runtime_error(PQerrorMessage(Connection.get()));
  return Connection;
}

void runOne(PGconn *Connection, const backend::statement &Statement) {
  std::vector<const char *> Values;
  for (const backend::sql_value &Value : Statement.Parameters)
    Values.push_back(Value ? Value->c_str() : nullptr);
  PGresult *Result = PQexecParams(Connection, Statement.Text.c_str(),
                                  static_cast<int>(Values.size()), nullptr,
                                  Values.data(), nullptr, nullptr, 0);
  ExecStatusType Status = PQresultStatus(Result);
  PQclear(Result);
  if (Status != PGRES_TUPLES_OK && Status != PGRES_COMMAND_OK)
    throw std::runtime_error(PQerrorMessage(Connection));
}

double runShare(PGconn *Connection, const load &Load) {
  double Before = threadSeconds();
  for (std::size_t Left = Load.Runs / Load.Connections; Left > 0; --Left)
    for (const backend::statement &Statement : Load.Statements)
      runOne(Connection, Statement);
  return threadSeconds() - Before;
}

} // namespace

measurement runBlocking(const load &Load) {
  std::vector<connection> Connections;
  for (std::size_t Index = 0; Index < Load.Connections; ++Index)
    Connections.push_back(connectTo(Load.Address));
  base::time_point Start = base::monotonic_clock::now();
  std::vector<std::future<double>> Shares;
  for (const connection &Connection : Connections)
    Shares.push_back(std::async(std::launch::async, [&Load, &Connection] {
      return runShare(Connection.get(), Load);
    }));
  measurement Result;
  for (std::future<double> &Share : Shares)
    Result.ProcessorSeconds += Share.get();
  std::chrono::duration<double> Elapsed = base::monotonic_clock::now() - Start;
  Result.ElapsedSeconds = Elapsed.count();
  std::size_t Runs = Load.Runs / Load.Connections * Load.Connections;
  Result.Statements = Runs * Load.Statements.size();
  return Result;
}

} // namespace radishrelay::bench
