/// \file
/// The platform: its table store and the call that promotes an instance.
#ifndef REVIEW_STAND_INS_2_PLATFORM_HH
#define REVIEW_STAND_INS_2_PLATFORM_HH

#include "base.hh"

#include <condition_variable>
#include <functional>
#include <map>
#include <tuple>

namespace review2 {

inline std::string toBase64(const std::string &Text) {
  static constexpr char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopq"
                                   "rstuvwxyz0123456789+/";
  std::string Result;
  for (std::size_t At = 0; At < Text.size(); At += 3) {
    unsigned Bits = 0;
    std::size_t Count = std::min<std::size_t>(3, Text.size() - At);
    for (std::size_t Index = 0; Index < 3; ++Index)
      Bits = Bits << 8 |
             (Index < Count ? static_cast<unsigned char>(Text[At + Index]) : 0);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Result += Index <= Count ? Digits[Bits >> (18 - 6 * Index) & 63] : '=';
  }
  return Result;
}

class platform {
public:
  platform(const std::string &Ip, record &Record) : Record(Record) {
    acceptForever(listenOn(Ip, Port), [this](int Socket) { serve(Socket); });
  }

  [[nodiscard]] int port() const { return Port; }

  /// Opens another port, whose reader finds the instances at \p InstanceIp: a
  /// path of its own to each of them.
  int addView(const std::string &Ip, const std::string &InstanceIp) {
    int ViewPort = 0;
    acceptForever(listenOn(Ip, ViewPort), [this, InstanceIp](int Socket) {
      serve(Socket, InstanceIp);
    });
    return ViewPort;
  }

  /// Writes a row as the operator or an instance does; the return is the ack.
  void put(const std::string &Table, const std::string &Key,
           const json &Value) {
    std::lock_guard Lock(Mutex);
    write({Table, "", Key}, toBase64(Value.dump()), ++Version);
    if (Value.contains("address"))
      Rows[{Table, "", Key}].Entry = Value;
  }

  /// The entry of an instance that is silent expires.
  void remove(const std::string &Table, const std::string &Key) {
    std::lock_guard Lock(Mutex);
    write({Table, "", Key}, "", ++Version);
  }

  /// Called for each order to promote an instance of a service.
  std::function<bool(const std::string &Service, const std::string &Id)>
      OnPromotion;

private:
  using row_name = std::tuple<std::string, std::string, std::string>;
  struct row {
    std::uint64_t Version = 0;
    std::string Value;
    bool IsDeleted = false;
    /// The entry of an instance, as it was written.
    json Entry;
  };
  struct reply {
    int Status = 200;
    json Body = json::object();
  };

  void write(const row_name &Name, const std::string &Value, std::uint64_t At) {
    Rows[Name] = {At, Value, Value.empty(), nullptr};
    Changed.notify_all();
  }

  void serve(int Socket, const std::string &InstanceIp = "") {
    line_reader Reader(Socket);
    while (true) {
      auto Deadline = clock::now() + 3600s;
      std::optional<std::string> Line = Reader.line(Deadline);
      if (!Line)
        return;
      std::string Method = takeField(*Line);
      std::string Target = takeField(*Line);
      std::size_t Length = 0;
      std::string Holder;
      std::string Fence;
      while ((Line = Reader.line(Deadline)) && !Line->empty()) {
        std::size_t Colon = Line->find(": ");
        std::string Name = Line->substr(0, Colon);
        std::string Value = Line->substr(std::min(Colon + 2, Line->size()));
        for (char &Letter : Name)
          Letter = static_cast<char>(std::tolower(Letter));
        if (Name == "content-length")
          Length = std::stoul(Value);
        if (Name == "x-radishrelay-duty-holder")
          Holder = Value;
        if (Name == "x-radishrelay-fencing-token")
          Fence = Value;
      }
      std::optional<std::string> Body = Reader.block(Length, Deadline);
      if (!Body)
        return;
      reply Reply = handle(Target, *Body, Holder, Fence, InstanceIp);
      std::string Text = Reply.Body.dump();
      if (!sendAll(Socket,
                   "HTTP/1.1 " + std::to_string(Reply.Status) +
                       " X\r\nContent-Type: application/json\r\nStore-Era: 1"
                       "\r\nContent-Length: " +
                       std::to_string(Text.size()) + "\r\n\r\n" + Text))
        return;
    }
  }

  reply handle(const std::string &Target, const std::string &Body,
               const std::string &Holder, const std::string &Fence,
               const std::string &InstanceIp) {
    std::string Path = Target.substr(0, Target.find('?'));
    std::map<std::string, std::string> Query = queryOf(Target);
    if (Path == "/v1/rows-get")
      return readRows(Query, InstanceIp);
    if (Path == "/v1/rows-feed")
      return readFeed(Query, InstanceIp);
    if (Path == "/v1/rows-tx")
      return runTransaction(json::parse(Body));
    if (Path == "/promotion") {
      json Order = json::parse(Body);
      Record.add("platform",
                 "promotion " + Body + " holder " + Holder + " fence " + Fence);
      bool IsDone =
          OnPromotion && OnPromotion(Order.at("service"), Order.at("id"));
      return {IsDone ? 200 : 409, json::object()};
    }
    return {404, json::object()};
  }

  static std::map<std::string, std::string> queryOf(const std::string &Target) {
    std::map<std::string, std::string> Result;
    std::size_t At = Target.find('?');
    while (At != std::string::npos && At + 1 < Target.size()) {
      std::size_t End = std::min(Target.find('&', At + 1), Target.size());
      std::string Pair = Target.substr(At + 1, End - At - 1);
      std::size_t Equals = std::min(Pair.find('='), Pair.size() - 1);
      std::string Value;
      for (std::size_t Index = Equals + 1; Index < Pair.size(); ++Index) {
        bool IsCode = Pair[Index] == '%' && Index + 2 < Pair.size();
        Value += IsCode ? static_cast<char>(
                              std::stoi(Pair.substr(Index + 1, 2), nullptr, 16))
                        : Pair[Index];
        Index += IsCode ? 2 : 0;
      }
      Result[Pair.substr(0, Equals)] = Value;
      At = End < Target.size() ? End : std::string::npos;
    }
    return Result;
  }

  static json describe(const row_name &Name, const row &Row,
                       const std::string &InstanceIp = "") {
    json Result = {{"tableName", std::get<0>(Name)},
                   {"part", std::get<1>(Name)},
                   {"key", std::get<2>(Name)},
                   {"rowVersion", Row.Version}};
    if (Row.IsDeleted)
      Result["deleted"] = true;
    else
      Result["value"] = Row.Value;
    if (!InstanceIp.empty() && Row.Entry.is_object()) {
      json Entry = Row.Entry;
      std::string Address = Entry["address"];
      Entry["address"] = InstanceIp + Address.substr(Address.find(':'));
      Result["value"] = toBase64(Entry.dump());
    }
    return Result;
  }

  json withVersion(json Body) {
    Body["rowVersion"] = Version;
    Body["nowMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                        clock::now().time_since_epoch())
                        .count();
    return Body;
  }

  reply readRows(std::map<std::string, std::string> &Query,
                 const std::string &InstanceIp) {
    std::lock_guard Lock(Mutex);
    std::size_t Limit =
        Query.contains("limit") ? std::stoul(Query["limit"]) : 500;
    json Found = json::array();
    bool HasMore = false;
    for (const auto &[Name, Row] : Rows) {
      const auto &[Table, Part, Key] = Name;
      bool IsWanted = Table == Query["tableName"] && Part == Query["part"] &&
                      !Row.IsDeleted && Key >= Query["from"] &&
                      (Query["target"].empty() || Key < Query["target"]);
      if (IsWanted && Found.size() >= Limit)
        HasMore = true;
      else if (IsWanted)
        Found.push_back(describe(Name, Row, InstanceIp));
    }
    return {200, withVersion({{"rows", Found}, {"hasMore", HasMore}})};
  }

  reply readFeed(std::map<std::string, std::string> &Query,
                 const std::string &InstanceIp) {
    std::unique_lock Lock(Mutex);
    std::uint64_t After = std::stoull(Query["after"]);
    auto Deadline =
        clock::now() + std::chrono::milliseconds(std::stoi(Query["waitMs"]));
    if (After > Version)
      return {410, json::object()};
    std::map<std::uint64_t, json> Changes;
    while (true) {
      for (const auto &[Name, Row] : Rows)
        if (std::get<0>(Name) == Query["tableName"] && Row.Version > After)
          Changes[Row.Version] = describe(Name, Row, InstanceIp);
      if (!Changes.empty() || clock::now() >= Deadline)
        break;
      Changed.wait_until(Lock, Deadline);
    }
    json Found = json::array();
    for (const auto &[At, Row] : Changes)
      Found.push_back(Row);
    return {200, withVersion({{"rows", Found}})};
  }

  reply runTransaction(const json &Transaction) {
    std::lock_guard Lock(Mutex);
    auto NameOf = [](const json &Entry) {
      return row_name(Entry.at("tableName"), Entry.at("part"), Entry.at("key"));
    };
    json Current = json::array();
    bool IsConflict = false;
    for (const json &Condition : Transaction.at("precondition")) {
      auto Row = Rows.find(NameOf(Condition));
      bool IsPresent = Row != Rows.end() && !Row->second.IsDeleted;
      std::uint64_t Known = IsPresent ? Row->second.Version : 0;
      IsConflict = IsConflict || Known != Condition.at("rowVersion");
      if (IsPresent)
        Current.push_back(describe(Row->first, Row->second));
    }
    if (IsConflict)
      return {412, withVersion({{"rows", Current}})};
    ++Version;
    for (const json &Put : Transaction.at("puts"))
      write(NameOf(Put), Put.at("value"), Version);
    for (const json &Delete : Transaction.at("deletes"))
      write(NameOf(Delete), "", Version);
    return {200, withVersion(json::object())};
  }

  record &Record;
  int Port = 0;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t Version = 1;
  std::map<row_name, row> Rows;
};

} // namespace review2

#endif
