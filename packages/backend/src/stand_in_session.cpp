#include "stand_in_session.h"

#include "radishrelay/base/random_generator.h"

#include <algorithm>

namespace radishrelay::backend::detail {

namespace {

constexpr std::uint32_t ProtocolVersion3 = 196'608;
constexpr std::uint32_t CancelRequestCode = 80'877'102;
constexpr std::uint32_t SslRequestCode = 80'877'103;
constexpr std::uint32_t GssRequestCode = 80'877'104;
constexpr std::size_t LengthSize = 4;
constexpr std::size_t HeaderSize = 5;
constexpr std::uint32_t MaxMessageSize = 64U << 20U;

const sql_error TooManyConnections = {"53300",
                                      "sorry, too many clients already"};

std::uint32_t checkedLength(std::string_view Bytes) {
  std::uint32_t Length = wire_reader(Bytes).int32();
  if (Length < LengthSize || Length > MaxMessageSize)
    throw protocol_error("invalid message length");
  return Length;
}

} // namespace

std::uint32_t cancelSecret(session_id Id) {
  return static_cast<std::uint32_t>(base::mixBits(Id));
}

stand_in_session::stand_in_session(instance_context &Instance, session_id Id,
                                   int Fd, cancel_handler OnCancel)
    : Instance(Instance), Id(Id), Socket(Fd), OnCancel(std::move(OnCancel)),
      Executor(Instance, Id) {}

stand_in_session::~stand_in_session() {
  if (Phase == phase::Ready)
    --Instance.Counters.Connections;
}

std::optional<base::time_point> stand_in_session::wakeAt() const {
  if (IsSilent || IsClosed)
    return std::nullopt;
  std::optional<base::time_point> Next = Executor.wakeAt();
  if (Phase == phase::Connecting)
    Next = ConnectedAt;
  std::optional<base::time_point> Due = Socket.nextDue();
  if (Due && (!Next || *Due < *Next))
    Next = Due;
  return Next;
}

void stand_in_session::onReadable(base::time_point Now, std::string &Record) {
  if (!Socket.receive(Record)) {
    IsClosed = true;
    return;
  }
  if (IsSilent)
    Socket.dropInput();
  else
    proceed(Now);
}

void stand_in_session::silence() {
  Executor.close();
  IsSilent = true;
}

void stand_in_session::cancel(std::uint32_t Secret) {
  if (Secret == cancelSecret(Id))
    Executor.cancel();
}

void stand_in_session::proceed(base::time_point Now) {
  if (IsSilent || IsClosed)
    return;
  try {
    while (!IsClosed && !IsClosing && step(Now))
      ;
  } catch (const protocol_error &Error) {
    endWithFatal({"08P01", Error.what()});
  }
  deliver(Now);
}

void stand_in_session::deliver(base::time_point Now) {
  if (Executor.answerIsLost()) {
    IsClosed = true;
    return;
  }
  if (!Output.isEmpty())
    Socket.queue(Output.take(), Now + Instance.AnswerDelay);
  if (!Socket.send(Now))
    IsClosed = true;
  bool IsSent = !Socket.isBlocked() && !Socket.nextDue();
  if (IsClosing && IsSent)
    IsClosed = true;
}

bool stand_in_session::step(base::time_point Now) {
  if (Executor.answerIsLost())
    return false;
  if (Phase == phase::Startup)
    return readStartup(Now);
  if (Phase == phase::Connecting)
    return finishConnect(Now);
  if (Executor.isBusy())
    return advanceStatement(Now);
  if (InSimpleQuery) {
    nextOfQuery(Now);
    return true;
  }
  return readMessage(Now);
}

bool stand_in_session::readStartup(base::time_point Now) {
  std::string_view Input = Socket.input();
  if (Input.size() < LengthSize || Input.size() < checkedLength(Input))
    return false;
  std::uint32_t Length = checkedLength(Input);
  wire_reader Body(Input.substr(LengthSize, Length - LengthSize));
  std::uint32_t Code = Body.int32();
  if (Code == SslRequestCode || Code == GssRequestCode) {
    Socket.consume(Length);
    Socket.queue("N", Now);
    return true;
  }
  if (Code == CancelRequestCode) {
    std::uint32_t Process = Body.int32();
    OnCancel(Process, Body.int32());
    IsClosed = true;
    return false;
  }
  if (Code != ProtocolVersion3)
    throw protocol_error("unsupported protocol version");
  Socket.consume(Length);
  ConnectedAt = Now + Instance.ConnectDelay;
  Phase = phase::Connecting;
  return true;
}

bool stand_in_session::finishConnect(base::time_point Now) {
  if (Now < ConnectedAt)
    return false;
  stand_in_report &Counters = Instance.Counters;
  if (Counters.Connections >= Instance.ConnectionLimit) {
    ++Counters.RefusedConnections;
    endWithFatal(TooManyConnections);
    return false;
  }
  ++Counters.Connections;
  Counters.MostConnections =
      std::max(Counters.MostConnections, Counters.Connections);
  Output.authenticationOk();
  Output.parameterStatus("server_version", "15.0");
  Output.parameterStatus("server_encoding", "UTF8");
  Output.parameterStatus("client_encoding", "UTF8");
  Output.parameterStatus("standard_conforming_strings", "on");
  Output.parameterStatus("integer_datetimes", "on");
  Output.backendKeyData(static_cast<std::uint32_t>(Id), cancelSecret(Id));
  Output.readyForQuery('I');
  Phase = phase::Ready;
  return true;
}

bool stand_in_session::readMessage(base::time_point Now) {
  std::string_view Input = Socket.input();
  if (Input.size() < HeaderSize)
    return false;
  std::size_t Length = checkedLength(Input.substr(1));
  if (Input.size() < Length + 1)
    return false;
  wire_reader Body(Input.substr(HeaderSize, Length - LengthSize));
  handle(Input.front(), Body, Now);
  Socket.consume(Length + 1);
  return true;
}

void stand_in_session::handle(char Type, wire_reader Body,
                              base::time_point Now) {
  if (Type == 'X')
    IsClosed = true;
  else if (Type == 'S')
    onSync(Now);
  else if (Skips || Type == 'H')
    return;
  else if (Type == 'P')
    onParse(Body);
  else if (Type == 'B')
    onBind(Body);
  else if (Type == 'D')
    onDescribe(Body);
  else if (Type == 'E')
    onExecute(Body, Now);
  else if (Type == 'C')
    onClose(Body);
  else if (Type == 'Q')
    onQuery(Body, Now);
  else
    throw protocol_error("unsupported message type");
}

void stand_in_session::onParse(wire_reader &Body) {
  std::string Name = Body.text();
  std::string Text = Body.text();
  if (auto Shape = Executor.describe(Text); !Shape)
    return writeError(Shape.error());
  Statements[Name] = std::move(Text);
  Output.parseComplete();
}

void stand_in_session::onBind(wire_reader &Body) {
  std::string Name = Body.text();
  auto Source = Statements.find(Body.text());
  if (Source == Statements.end())
    return writeError({"26000", "prepared statement does not exist"});
  bool IsText = true;
  for (std::uint16_t Left = Body.int16(); Left > 0; --Left)
    IsText = Body.int16() == 0 && IsText;
  statement Bound{Source->second, {}};
  for (std::uint16_t Left = Body.int16(); Left > 0; --Left)
    Bound.Parameters.push_back(Body.value());
  for (std::uint16_t Left = Body.int16(); Left > 0; --Left)
    IsText = Body.int16() == 0 && IsText;
  if (!IsText)
    return writeError({"0A000", "only the text format is supported"});
  Portals[Name] = std::move(Bound);
  Output.bindComplete();
}

void stand_in_session::onDescribe(wire_reader &Body) {
  bool IsStatement = Body.byte() == 'S';
  std::string Name = Body.text();
  const std::string *Text = nullptr;
  if (auto Place = Statements.find(Name);
      IsStatement && Place != Statements.end())
    Text = &Place->second;
  if (auto Place = Portals.find(Name); !IsStatement && Place != Portals.end())
    Text = &Place->second.Text;
  if (!Text)
    return writeError({"26000", "nothing to describe under this name"});
  auto Shape = Executor.describe(*Text);
  if (!Shape)
    return writeError(Shape.error());
  if (IsStatement)
    Output.parameterDescription(Shape->Parameters);
  describeColumns(*Shape);
}

void stand_in_session::describeColumns(const prepared_shape &Shape) {
  if (Shape.Columns.empty())
    Output.noData();
  else
    Output.rowDescription(Shape.Columns);
}

void stand_in_session::onExecute(wire_reader &Body, base::time_point Now) {
  auto Portal = Portals.find(Body.text());
  if (Portal == Portals.end())
    return writeError({"34000", "portal does not exist"});
  Executor.start(Portal->second, Now);
}

void stand_in_session::onClose(wire_reader &Body) {
  bool IsStatement = Body.byte() == 'S';
  std::string Name = Body.text();
  if (IsStatement)
    Statements.erase(Name);
  else
    Portals.erase(Name);
  Output.closeComplete();
}

void stand_in_session::onSync(base::time_point Now) {
  Skips = false;
  if (std::optional<sql_error> Error = Executor.sync(Now))
    Output.errorResponse(*Error, "ERROR");
  if (Executor.status() == 'I')
    Portals.clear();
  Output.readyForQuery(Executor.status());
}

void stand_in_session::onQuery(wire_reader &Body, base::time_point Now) {
  for (std::string &Part : splitStatements(Body.text()))
    QueryParts.push_back(std::move(Part));
  InSimpleQuery = true;
  if (!QueryParts.empty())
    return;
  Output.emptyQueryResponse();
  endQuery(Now);
}

void stand_in_session::nextOfQuery(base::time_point Now) {
  if (QueryParts.empty()) {
    endQuery(Now);
    return;
  }
  statement Next{std::move(QueryParts.front()), {}};
  QueryParts.pop_front();
  Executor.start(std::move(Next), Now);
}

void stand_in_session::endQuery(base::time_point Now) {
  InSimpleQuery = false;
  onSync(Now);
}

bool stand_in_session::advanceStatement(base::time_point Now) {
  std::optional<statement_executor::outcome> Outcome = Executor.advance(Now);
  if (!Outcome)
    return false;
  writeOutcome(*Outcome);
  return true;
}

void stand_in_session::writeOutcome(
    const statement_executor::outcome &Outcome) {
  if (!Outcome)
    return writeError(Outcome.error());
  if (Outcome->Tag.empty()) {
    Output.emptyQueryResponse();
    return;
  }
  if (InSimpleQuery && !Outcome->Result.Columns.empty())
    Output.rowDescription(Outcome->Result.Columns);
  for (const std::vector<sql_value> &Row : Outcome->Result.Rows)
    Output.dataRow(Row);
  Output.commandComplete(Outcome->Tag);
}

void stand_in_session::writeError(const sql_error &Error) {
  Executor.fail();
  Output.errorResponse(Error, "ERROR");
  Skips = !InSimpleQuery;
  QueryParts.clear();
}

void stand_in_session::endWithFatal(const sql_error &Error) {
  Executor.close();
  Output.errorResponse(Error, "FATAL");
  IsClosing = true;
}

} // namespace radishrelay::backend::detail
