#include "sqlite_database.h"

#include <algorithm>
#include <cstdlib>
#include <new>
#include <string_view>

namespace radishrelay::backend::detail {

namespace {

/// The cache is emptied at this size; texts without parameters would otherwise
/// fill the memory.
constexpr std::size_t CacheCapacity = 512;

sql_value column(sqlite3_stmt *Handle, int Index) {
  const unsigned char *Text = sqlite3_column_text(Handle, Index);
  if (!Text)
    return std::nullopt;
  auto Size = static_cast<std::size_t>(sqlite3_column_bytes(Handle, Index));
  return std::string(reinterpret_cast<const char *>(Text), Size);
}

/// "$2" gives 2. SQLite takes "$2::bigint" as one name, so that casts of
/// parameters have no effect.
std::size_t parameterNumber(const char *Name, int Place) {
  if (!Name || *Name != '$')
    return static_cast<std::size_t>(Place);
  return std::strtoull(Name + 1, nullptr, 10);
}

void bind(sqlite3_stmt *Handle, int Place, const sql_value &Value) {
  if (!Value)
    sqlite3_bind_null(Handle, Place);
  else
    sqlite3_bind_text(Handle, Place, Value->data(),
                      static_cast<int>(Value->size()), SQLITE_STATIC);
}

std::string sqlStateOfMessage(std::string_view Message) {
  if (Message.find("no such table") != Message.npos)
    return "42P01";
  if (Message.find("no such column") != Message.npos)
    return "42703";
  if (Message.find("already exists") != Message.npos)
    return "42P07";
  return "42601";
}

std::string sqlStateOf(int ExtendedCode, std::string_view Message) {
  switch (ExtendedCode) {
  case SQLITE_CONSTRAINT_UNIQUE:
  case SQLITE_CONSTRAINT_PRIMARYKEY:
  case SQLITE_CONSTRAINT_ROWID:
    return "23505";
  case SQLITE_CONSTRAINT_NOTNULL:
    return "23502";
  case SQLITE_CONSTRAINT_FOREIGNKEY:
    return "23503";
  case SQLITE_CONSTRAINT_CHECK:
    return "23514";
  case SQLITE_ERROR:
    return sqlStateOfMessage(Message);
  default:
    return "XX000";
  }
}

} // namespace

sqlite_database::sqlite_database() {
  sqlite3 *Handle = nullptr;
  // One thread uses the database at a time, so SQLite need not lock.
  constexpr int Flags =
      SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX;
  int Code = sqlite3_open_v2(":memory:", &Handle, Flags, nullptr);
  Database.reset(Handle);
  if (Code != SQLITE_OK)
    throw std::bad_alloc();
  sqlite3_extended_result_codes(Handle, 1);
  control("PRAGMA foreign_keys = ON");
}

void sqlite_database::control(const char *Text) {
  sqlite3_exec(Database.get(), Text, nullptr, nullptr, nullptr);
}

sql_error sqlite_database::lastError() const {
  std::string Message = sqlite3_errmsg(Database.get());
  int Code = sqlite3_extended_errcode(Database.get());
  return {sqlStateOf(Code, Message), Message};
}

sqlite_database::cached_result
sqlite_database::prepare(const std::string &Text) {
  if (auto Place = Cache.find(Text); Place != Cache.end())
    return &Place->second;
  sqlite3_stmt *Handle = nullptr;
  int Code = sqlite3_prepare_v3(Database.get(), Text.c_str(), -1,
                                SQLITE_PREPARE_PERSISTENT, &Handle, nullptr);
  if (Code != SQLITE_OK)
    return lastError();
  cached_statement Cached;
  Cached.Handle.reset(Handle);
  Cached.Shape.IsWrite = sqlite3_stmt_readonly(Handle) == 0;
  for (int Index = 0; Index < sqlite3_column_count(Handle); ++Index)
    Cached.Shape.Columns.emplace_back(sqlite3_column_name(Handle, Index));
  for (int At = 1; At <= sqlite3_bind_parameter_count(Handle); ++At) {
    const char *Name = sqlite3_bind_parameter_name(Handle, At);
    Cached.Numbers.push_back(parameterNumber(Name, At));
    Cached.Shape.Parameters =
        std::max(Cached.Shape.Parameters, Cached.Numbers.back());
  }
  if (Cache.size() >= CacheCapacity)
    Cache.clear();
  return &Cache.emplace(Text, std::move(Cached)).first->second;
}

base::expected<prepared_shape, sql_error>
sqlite_database::describe(const std::string &Text) {
  cached_result Cached = prepare(Text);
  if (!Cached)
    return Cached.error();
  return (*Cached)->Shape;
}

base::expected<result_set, sql_error>
sqlite_database::run(const statement &Statement) {
  cached_result Cached = prepare(Statement.Text);
  if (!Cached)
    return Cached.error();
  const cached_statement &Prepared = **Cached;
  sqlite3_stmt *Handle = Prepared.Handle.get();
  if (!Handle)
    return result_set{};
  int Place = 0;
  for (std::size_t Number : Prepared.Numbers) {
    bool IsGiven = Number >= 1 && Number <= Statement.Parameters.size();
    if (!IsGiven)
      return sql_error{"42P02",
                       "there is no parameter $" + std::to_string(Number)};
    bind(Handle, ++Place, Statement.Parameters[Number - 1]);
  }
  base::expected<result_set, sql_error> Result = step(Prepared);
  sqlite3_reset(Handle);
  return Result;
}

base::expected<result_set, sql_error>
sqlite_database::step(const cached_statement &Cached) {
  sqlite3_stmt *Handle = Cached.Handle.get();
  result_set Set;
  int Code = SQLITE_ROW;
  while ((Code = sqlite3_step(Handle)) == SQLITE_ROW) {
    std::vector<sql_value> &Row = Set.Rows.emplace_back();
    for (int Index = 0; Index < sqlite3_column_count(Handle); ++Index)
      Row.push_back(column(Handle, Index));
  }
  if (Code != SQLITE_DONE)
    return lastError();
  // Taken after the run, since a schema change may add columns to "*".
  for (int Index = 0; Index < sqlite3_column_count(Handle); ++Index)
    Set.Columns.emplace_back(sqlite3_column_name(Handle, Index));
  if (Cached.Shape.IsWrite)
    Set.Affected = static_cast<std::uint64_t>(sqlite3_changes(Database.get()));
  return Set;
}

} // namespace radishrelay::backend::detail
