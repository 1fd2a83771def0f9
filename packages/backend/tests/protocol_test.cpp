#include "group_fixture.h"

#include <boost/test/unit_test.hpp>
#include <libpq-fe.h>

namespace {

using namespace radishrelay;
using namespace radishrelay::backend;
using namespace radishrelay::backend::tests;

struct clear_result {
  void operator()(PGresult *Result) const { PQclear(Result); }
};
using result = std::unique_ptr<PGresult, clear_result>;

struct finish_connection {
  void operator()(PGconn *Connection) const { PQfinish(Connection); }
};
using connection = std::unique_ptr<PGconn, finish_connection>;

connection connectTo(const std::string &Address) {
  std::string Port = Address.substr(Address.rfind(':') + 1);
  // sslmode=prefer makes libpq send an SSLRequest first.
  std::string Settings = "hostaddr=127.0.0.1 user=test dbname=records "
                         "sslmode=prefer passfile=/dev/null/none port=" +
                         Port;
  connection Connection(PQconnectdb(Settings.c_str()));
  BOOST_REQUIRE_EQUAL(PQstatus(Connection.get()), CONNECTION_OK);
  return Connection;
}

std::string sqlState(const result &Result) {
  const char *Text = PQresultErrorField(Result.get(), PG_DIAG_SQLSTATE);
  return Text ? Text : "";
}

void cancel(const connection &Connection) {
  PGcancel *Request = PQgetCancel(Connection.get());
  char Error[256];
  BOOST_TEST(PQcancel(Request, Error, sizeof(Error)) == 1);
  PQfreeCancel(Request);
}

struct one_slot : group_fixture {
  one_slot() : group_fixture(options()) {}
  static stand_in_options options() {
    stand_in_options Options = withPermits();
    Options.Slots = 1;
    Options.ServiceTime = std::chrono::minutes(10);
    return Options;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_stand_in_and_a_blocking_client)

BOOST_FIXTURE_TEST_SUITE(with_simple_queries, group_fixture)

// Guards against a split inside quotes and a half of a query in effect.
BOOST_AUTO_TEST_CASE(run_all_statements_or_none) {
  connection Connection = connectTo(Group.address(0));
  result Result(PQexec(Connection.get(),
                       "INSERT INTO permits VALUES (1, 'a;b'); -- c;\n"
                       "SELECT status FROM permits"));
  BOOST_REQUIRE_EQUAL(PQresultStatus(Result.get()), PGRES_TUPLES_OK);
  BOOST_TEST(PQgetvalue(Result.get(), 0, 0) == std::string("a;b"));
  Result.reset(PQexec(Connection.get(),
                      "INSERT INTO permits VALUES (2, ''); SELECT absent"));
  BOOST_TEST(sqlState(Result) == "42703");
  BOOST_TEST(permitsAt(0) == "1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(with_prepared_statements, group_fixture)

// Guards against named statements and their description being unusable.
BOOST_AUTO_TEST_CASE(describe_and_run_them) {
  connection Connection = connectTo(Group.address(0));
  const char *Text = "SELECT $1 AS a, $2 AS b";
  result Result(PQprepare(Connection.get(), "pair", Text, 0, nullptr));
  BOOST_REQUIRE_EQUAL(PQresultStatus(Result.get()), PGRES_COMMAND_OK);
  Result.reset(PQdescribePrepared(Connection.get(), "pair"));
  BOOST_TEST(PQnparams(Result.get()) == 2);
  BOOST_TEST(PQfname(Result.get(), 1) == std::string("b"));
  const char *Values[] = {"x", nullptr};
  Result.reset(
      PQexecPrepared(Connection.get(), "pair", 2, Values, nullptr, nullptr, 0));
  BOOST_TEST(PQgetvalue(Result.get(), 0, 0) == std::string("x"));
  BOOST_TEST(PQgetisnull(Result.get(), 0, 1) == 1);
  Result.reset(PQexecPrepared(Connection.get(), "absent", 0, nullptr, nullptr,
                              nullptr, 0));
  BOOST_TEST(sqlState(Result) == "26000");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_cancels, one_slot)

// Guards against a cancelled statement that keeps its slot.
BOOST_AUTO_TEST_CASE(frees_the_slot_for_the_next) {
  connection First = connectTo(Group.address(0));
  connection Second = connectTo(Group.address(0));
  BOOST_TEST(PQsendQuery(First.get(), "SELECT 1") == 1);
  BOOST_TEST(PQsendQuery(Second.get(), "SELECT 2") == 1);
  for (const connection *Each : {&First, &Second}) {
    result Result;
    // A request that overtakes its query has no effect.
    while (PQconsumeInput(Each->get()) == 1 && PQisBusy(Each->get()))
      cancel(*Each);
    Result.reset(PQgetResult(Each->get()));
    BOOST_TEST(sqlState(Result) == "57014");
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
