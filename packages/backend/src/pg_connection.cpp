#include "pg_connection.h"

#include "radishrelay/backend/backend_error.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace radishrelay::backend::detail {

namespace {

constexpr std::size_t MaxParameters = 65'535;
/// A path that cannot exist. libpq would otherwise read the file of the user
/// who runs the daemon, and it warns of one that is not a plain file.
constexpr const char *NoPasswordFile = "/dev/null/none";

/// libpq separates the results of two statements by one empty result. More mean
/// that it expects nothing more, although the run has not ended.
constexpr int MostEmptyResults = 2;

struct clear_result {
  void operator()(PGresult *Result) const { PQclear(Result); }
};
using result = std::unique_ptr<PGresult, clear_result>;

/// "[::1]" gives "::1".
std::string withoutBrackets(const std::string &Host) {
  bool HasBrackets = Host.starts_with('[') && Host.ends_with(']');
  return HasBrackets ? Host.substr(1, Host.size() - 2) : Host;
}

/// Notices have no place in the events, and libpq would print them.
void dropNotice(void *, const char *) {}

PGconn *startConnect(const open_connection &Command,
                     const backend_thread_options &Options) {
  std::size_t Colon = Command.Address.rfind(':');
  std::string Host = withoutBrackets(Command.Address.substr(0, Colon));
  std::string Port = Colon == std::string::npos
                         ? std::string()
                         : Command.Address.substr(Colon + 1);
  const char *Names[] = {
      "hostaddr", "port",       "dbname",           "user", "passfile",
      "sslmode",  "gssencmode", "application_name", nullptr};
  const char *Values[] = {Host.c_str(),
                          Port.c_str(),
                          Command.Database.c_str(),
                          Options.User.c_str(),
                          NoPasswordFile,
                          "disable",
                          "disable",
                          Options.ApplicationName.c_str(),
                          nullptr};
  return PQconnectStartParams(Names, Values, 0);
}

bool hasZeroByte(std::string_view Text) {
  return Text.find('\0') != std::string_view::npos;
}

bool isSendable(const statement &Statement) {
  if (hasZeroByte(Statement.Text))
    return false;
  if (Statement.Parameters.size() > MaxParameters)
    return false;
  return std::none_of(
      Statement.Parameters.begin(), Statement.Parameters.end(),
      [](const sql_value &Value) { return Value && hasZeroByte(*Value); });
}

bool sendStatement(PGconn *Connection, const statement &Statement) {
  std::vector<const char *> Values;
  Values.reserve(Statement.Parameters.size());
  for (const sql_value &Value : Statement.Parameters)
    Values.push_back(Value ? Value->c_str() : nullptr);
  int Count = static_cast<int>(Values.size());
  return PQsendQueryParams(Connection, Statement.Text.c_str(), Count, nullptr,
                           Values.data(), nullptr, nullptr, 0) == 1;
}

/// Rows that a SELECT returned do not count as affected.
std::uint64_t affectedRows(PGresult *Result) {
  if (std::string_view(PQcmdStatus(Result)).starts_with("SELECT"))
    return 0;
  return std::strtoull(PQcmdTuples(Result), nullptr, 10);
}

sql_value cell(PGresult *Result, int Row, int Column) {
  if (PQgetisnull(Result, Row, Column))
    return std::nullopt;
  auto Size = static_cast<std::size_t>(PQgetlength(Result, Row, Column));
  return std::string(PQgetvalue(Result, Row, Column), Size);
}

result_set toResultSet(PGresult *Result) {
  result_set Set;
  int Columns = PQnfields(Result);
  int Rows = PQntuples(Result);
  Set.Columns.reserve(static_cast<std::size_t>(Columns));
  for (int Column = 0; Column < Columns; ++Column)
    Set.Columns.emplace_back(PQfname(Result, Column));
  Set.Rows.resize(static_cast<std::size_t>(Rows));
  for (int Row = 0; Row < Rows; ++Row) {
    auto &Cells = Set.Rows[static_cast<std::size_t>(Row)];
    Cells.reserve(static_cast<std::size_t>(Columns));
    for (int Column = 0; Column < Columns; ++Column)
      Cells.push_back(cell(Result, Row, Column));
  }
  Set.Affected = affectedRows(Result);
  return Set;
}

std::string trimmed(std::string_view Text) {
  std::size_t End = Text.find_last_not_of(" \n\r\t");
  return std::string(Text.substr(0, End == Text.npos ? 0 : End + 1));
}

} // namespace

base::failure checkStatements(const run_statements &Command,
                              const std::string &Address) {
  if (std::all_of(Command.Statements.begin(), Command.Statements.end(),
                  isSendable))
    return {};
  return {backend_error::InvalidStatement, "send statements", Address,
          "zero byte in a statement or too many parameters"};
}

pg_connection::pg_connection(const open_connection &Command,
                             const backend_thread_options &Options)
    : Address(Command.Address), Handle(startConnect(Command, Options)),
      Interest(EPOLLOUT) {
  if (!Handle || PQstatus(Handle.get()) == CONNECTION_BAD)
    fail(backend_error::ConnectFailed, "connect", libraryMessage());
  else
    PQsetNoticeProcessor(Handle.get(), dropNotice, nullptr);
}

pg_connection::~pg_connection() {
  // PQfinish would otherwise still send what remains in the buffer of a run
  // that has already been reported as ended.
  bool MayHoldUnsentBytes = State == state::Running || State == state::Failed;
  if (Handle && MayHoldUnsentBytes && socket() >= 0)
    shutdown(socket(), SHUT_RDWR);
}

void pg_connection::proceed(std::uint32_t Events) {
  if (State == state::Connecting) {
    continueConnect();
    return;
  }
  if (Events & EPOLLOUT)
    flush();
  if (State != state::Failed)
    receive();
}

void pg_connection::continueConnect() {
  switch (PQconnectPoll(Handle.get())) {
  case PGRES_POLLING_READING:
    Interest = EPOLLIN;
    return;
  case PGRES_POLLING_WRITING:
    Interest = EPOLLOUT;
    return;
  case PGRES_POLLING_OK:
    enterPipeline();
    return;
  default:
    fail(backend_error::ConnectFailed, "connect", libraryMessage());
  }
}

void pg_connection::enterPipeline() {
  Interest = EPOLLIN;
  bool IsReady = PQsetnonblocking(Handle.get(), 1) == 0 &&
                 PQenterPipelineMode(Handle.get()) == 1;
  if (!IsReady) {
    fail(backend_error::ConnectFailed, "enter pipeline mode", libraryMessage());
    return;
  }
  State = state::Idle;
}

void pg_connection::startRun(const run_statements &Command) {
  Run.emplace();
  Run->Connection = Command.Connection;
  Run->Run = Command.Run;
  ExpectedResults = Command.Statements.size();
  Run->Results.reserve(ExpectedResults);
  Run->SentAt = base::monotonic_clock::now();
  // libpq may write to the socket in any of the calls below.
  Run->MayHaveReached = true;
  State = state::Running;
  bool IsQueued = std::all_of(
      Command.Statements.begin(), Command.Statements.end(),
      [this](const statement &S) { return sendStatement(Handle.get(), S); });
  if (!IsQueued || PQpipelineSync(Handle.get()) != 1) {
    fail(backend_error::ConnectionLost, "send statements", libraryMessage());
    return;
  }
  flush();
}

void pg_connection::flush() {
  int Unsent = PQflush(Handle.get());
  if (Unsent < 0) {
    fail(backend_error::ConnectionLost, "send statements", libraryMessage());
    return;
  }
  Interest = Unsent ? EPOLLIN | EPOLLOUT : EPOLLIN;
}

void pg_connection::receive() {
  bool IsAlive = PQconsumeInput(Handle.get()) == 1;
  int Empty = 0;
  while (State == state::Running && !PQisBusy(Handle.get())) {
    result Result(PQgetResult(Handle.get()));
    Empty = Result ? 0 : Empty + 1;
    if (Result)
      takeResult(Result.get());
    else if (Empty > MostEmptyResults)
      fail(backend_error::ConnectionLost, "receive results",
           "the server ended the pipeline early");
  }
  if (!IsAlive && State != state::Failed)
    fail(backend_error::ConnectionLost, "receive results", libraryMessage());
}

void pg_connection::takeResult(PGresult *Result) {
  switch (PQresultStatus(Result)) {
  case PGRES_COMMAND_OK:
  case PGRES_TUPLES_OK:
  case PGRES_EMPTY_QUERY:
    Run->Results.push_back(toResultSet(Result));
    return;
  case PGRES_PIPELINE_ABORTED:
    return;
  case PGRES_PIPELINE_SYNC:
    completeRun();
    return;
  case PGRES_FATAL_ERROR:
    takeError(Result);
    return;
  default:
    fail(backend_error::ConnectionLost, "receive results",
         "unsupported answer: COPY");
  }
}

void pg_connection::takeError(PGresult *Result) {
  const char *SqlState = PQresultErrorField(Result, PG_DIAG_SQLSTATE);
  const char *Message = PQresultErrorField(Result, PG_DIAG_MESSAGE_PRIMARY);
  // libpq reports a lost connection as an error without SQLSTATE.
  if (!SqlState || PQstatus(Handle.get()) == CONNECTION_BAD) {
    fail(backend_error::ConnectionLost, "receive results", libraryMessage());
    return;
  }
  if (Run->Failure)
    return;
  Run->SqlState = SqlState;
  Run->Failure = {backend_error::StatementFailed, "run statements", Address,
                  Run->SqlState + ": " + (Message ? Message : "")};
}

void pg_connection::completeRun() {
  if (!Run->Failure && Run->Results.size() != ExpectedResults) {
    fail(backend_error::ConnectionLost, "receive results",
         "fewer results than statements");
    return;
  }
  // The transaction status is known once libpq has left the sync point.
  if (PQtransactionStatus(Handle.get()) == PQTRANS_ACTIVE)
    PQclear(PQgetResult(Handle.get()));
  PGTransactionStatusType Status = PQtransactionStatus(Handle.get());
  Run->InTransaction = Status != PQTRANS_IDLE;
  RunEnded = true;
  State = state::Idle;
}

std::optional<run_finished> pg_connection::takeFinished() {
  if (!RunEnded)
    return std::nullopt;
  RunEnded = false;
  return std::exchange(Run, std::nullopt);
}

std::optional<run_finished>
pg_connection::abandonRun(const base::failure &Reason) {
  if (!Run)
    return std::nullopt;
  Run->Failure = Reason;
  Run->Results.clear();
  Run->SqlState.clear();
  RunEnded = false;
  return std::exchange(Run, std::nullopt);
}

void pg_connection::fail(std::error_code Code, const char *Step,
                         std::string Detail) {
  State = state::Failed;
  Failure = {Code, Step, Address, std::move(Detail)};
}

std::string pg_connection::libraryMessage() const {
  return Handle ? trimmed(PQerrorMessage(Handle.get())) : "out of memory";
}

} // namespace radishrelay::backend::detail
