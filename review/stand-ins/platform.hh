// Stand-in of the platform: the metadata store, service discovery in it, and
// the call that orders a promotion.
#ifndef REVIEW_PLATFORM_HH
#define REVIEW_PLATFORM_HH

#include "record.hh"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <map>

namespace review {

using nlohmann::json;

inline std::string encodeBase64(const std::string &Text) {
  static constexpr char Letters[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (std::size_t Start = 0; Start < Text.size(); Start += 3) {
    unsigned Group = 0;
    for (std::size_t Index = 0; Index < 3; ++Index)
      Group =
          Group << 8 | (Start + Index < Text.size()
                            ? static_cast<unsigned char>(Text[Start + Index])
                            : 0U);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Result += Start + Index <= Text.size()
                    ? Letters[Group >> (18 - 6 * Index) & 63U]
                    : '=';
  }
  return Result;
}

inline std::string decodeBase64(const std::string &Text) {
  std::string Result;
  unsigned Bits = 0;
  int Count = 0;
  for (char Character : Text) {
    int Value = Character >= 'A' && Character <= 'Z'   ? Character - 'A'
                : Character >= 'a' && Character <= 'z' ? Character - 'a' + 26
                : Character >= '0' && Character <= '9' ? Character - '0' + 52
                : Character == '+'                     ? 62
                : Character == '/'                     ? 63
                                                       : -1;
    if (Value < 0)
      break;
    Bits = Bits << 6 | static_cast<unsigned>(Value);
    Count += 6;
    if (Count >= 8) {
      Count -= 8;
      Result += static_cast<char>(Bits >> Count & 255U);
    }
  }
  return Result;
}

/// An order of a promotion, as the platform received it.
struct promotion_order {
  std::string Holder;
  std::uint64_t Generation = 0;
  std::string Service;
  std::string Instance;
};

class platform {
public:
  /// Carries out an order; returns the HTTP status.
  using promoter = std::function<int(const promotion_order &)>;
  /// Called for each committed write of a row by the system.
  using write_observer = std::function<void(
      const std::string &Table, const std::string &Key, const json &Value)>;

  explicit platform(record &Record)
      : Record(Record), Store([this](int Socket) { serve(Socket); }),
        Promotions([this](int Socket) { serve(Socket); }) {}
  ~platform() {
    {
      std::lock_guard Guard(Mutex);
      IsStopping = true;
    }
    Changed.notify_all();
    Store.stop();
    Promotions.stop();
  }

  [[nodiscard]] int storePort() const { return Store.port(); }
  [[nodiscard]] int promotionsPort() const { return Promotions.port(); }

  void setPromoter(promoter Value) { Promote = std::move(Value); }
  void setObserver(write_observer Value) { Observe = std::move(Value); }

  /// Writes of the operator and of the instances.
  void put(const std::string &Table, const std::string &Key,
           const json &Value) {
    std::lock_guard Guard(Mutex);
    Rows[{Table, "", Key}] = {++Version, encodeBase64(Value.dump())};
    Changed.notify_all();
  }
  void remove(const std::string &Table, const std::string &Key) {
    std::lock_guard Guard(Mutex);
    Rows[{Table, "", Key}] = {++Version, ""};
    Changed.notify_all();
  }
  std::size_t rowCount(const std::string &Table) {
    std::lock_guard Guard(Mutex);
    std::size_t Count = 0;
    for (const auto &[Name, Row] : Rows)
      Count += std::get<0>(Name) == Table && !Row.Value.empty() ? 1 : 0;
    return Count;
  }

private:
  using row_name = std::tuple<std::string, std::string, std::string>;
  struct row {
    std::uint64_t Version = 0;
    /// In base64; empty if the row was deleted.
    std::string Value;
  };
  struct reply {
    int Status = 200;
    json Body = json::object();
  };
  using fields = std::map<std::string, std::string>;

  void serve(int Socket) {
    reader Reader(Socket);
    while (std::optional<std::string> Head = Reader.until("\r\n\r\n")) {
      fields Headers;
      std::string Line = Head->substr(0, Head->find("\r\n"));
      for (std::size_t At = Head->find("\r\n"); At != std::string::npos;) {
        std::size_t Next = Head->find("\r\n", At + 2);
        std::string Field = Head->substr(At + 2, Next - At - 2);
        std::string Name = Field.substr(0, Field.find(':'));
        for (char &Letter : Name)
          Letter = static_cast<char>(std::tolower(Letter));
        std::size_t Value = Field.find_first_not_of(" :", Name.size());
        Headers[Name] =
            Value == std::string::npos ? std::string() : Field.substr(Value);
        At = Next;
      }
      auto Length = Headers.find("content-length");
      auto Body = Reader.exactly(
          Length == Headers.end() ? 0 : std::stoul(Length->second));
      if (!Body)
        return;
      std::size_t Space = Line.find(' ');
      std::string Target = Line.substr(Space + 1, Line.rfind(' ') - Space - 1);
      reply Reply = handle(Target, Headers, *Body);
      std::string Text = Reply.Body.dump();
      if (!sendAll(Socket, "HTTP/1.1 " + std::to_string(Reply.Status) +
                               " Reply\r\nContent-Type: application/json\r\n"
                               "Store-Era: 1\r\nContent-Length: " +
                               std::to_string(Text.size()) + "\r\n\r\n" + Text))
        return;
    }
  }

  static std::string decodeUrl(const std::string &Text) {
    std::string Result;
    for (std::size_t At = 0; At < Text.size(); ++At)
      if (Text[At] == '%') {
        Result +=
            static_cast<char>(std::stoi(Text.substr(At + 1, 2), nullptr, 16));
        At += 2;
      } else {
        Result += Text[At];
      }
    return Result;
  }

  reply handle(const std::string &Target, const fields &Headers,
               const std::string &Body) {
    std::string Path = Target.substr(0, Target.find('?'));
    fields Query;
    if (Path.size() < Target.size()) {
      std::string Rest = Target.substr(Path.size() + 1) + "&";
      for (std::size_t At = 0; At < Rest.size();) {
        std::size_t End = Rest.find('&', At);
        std::size_t Equal = Rest.find('=', At);
        if (Equal < End)
          Query[decodeUrl(Rest.substr(At, Equal - At))] =
              decodeUrl(Rest.substr(Equal + 1, End - Equal - 1));
        At = End + 1;
      }
    }
    if (Path == "/v1/rows-get")
      return readRows(Query);
    if (Path == "/v1/rows-feed")
      return readFeed(Query);
    if (Path == "/v1/rows-tx")
      return runTransaction(json::parse(Body));
    if (Path == "/promotion")
      return promote(Headers, json::parse(Body));
    return {404, json::object()};
  }

  static json describe(const row_name &Name, const row &Row) {
    json Result = {{"tableName", std::get<0>(Name)},
                   {"part", std::get<1>(Name)},
                   {"key", std::get<2>(Name)},
                   {"rowVersion", Row.Version}};
    if (Row.Value.empty())
      Result["deleted"] = true;
    else
      Result["value"] = Row.Value;
    return Result;
  }

  json answer(json NewRows) const {
    auto Now = std::chrono::duration_cast<std::chrono::milliseconds>(
        clock::now().time_since_epoch());
    return {{"rows", std::move(NewRows)},
            {"rowVersion", Version},
            {"hasMore", false},
            {"nowMs", Now.count()}};
  }

  reply readRows(fields Query) {
    std::lock_guard Guard(Mutex);
    std::size_t Limit =
        Query.contains("limit") ? std::stoul(Query["limit"]) : 500;
    json Found = json::array();
    for (const auto &[Name, Row] : Rows)
      if (std::get<0>(Name) == Query["tableName"] &&
          std::get<1>(Name) == Query["part"] && !Row.Value.empty() &&
          std::get<2>(Name) >= Query["from"] && Found.size() < Limit)
        Found.push_back(describe(Name, Row));
    return {200, answer(std::move(Found))};
  }

  reply readFeed(fields Query) {
    std::unique_lock Lock(Mutex);
    std::uint64_t After = std::stoull(Query["after"]);
    auto Deadline =
        clock::now() + std::chrono::milliseconds(std::stoi(Query["waitMs"]));
    while (true) {
      std::map<std::uint64_t, json> Changes;
      for (const auto &[Name, Row] : Rows)
        if (std::get<0>(Name) == Query["tableName"] && Row.Version > After)
          Changes[Row.Version] = describe(Name, Row);
      bool IsOver = IsStopping || clock::now() >= Deadline;
      if (!Changes.empty() || IsOver) {
        json Found = json::array();
        for (const auto &[At, Row] : Changes)
          Found.push_back(Row);
        return {200, answer(std::move(Found))};
      }
      Changed.wait_until(Lock, Deadline);
    }
  }

  reply runTransaction(const json &Transaction) {
    std::unique_lock Lock(Mutex);
    auto NameOf = [](const json &Entry) {
      return row_name{Entry.at("tableName").get<std::string>(),
                      Entry.at("part").get<std::string>(),
                      Entry.at("key").get<std::string>()};
    };
    json Present = json::array();
    bool IsMet = true;
    for (const json &Condition : Transaction.at("precondition")) {
      row_name Name = NameOf(Condition);
      auto Row = Rows.find(Name);
      bool Exists = Row != Rows.end() && !Row->second.Value.empty();
      if (Exists)
        Present.push_back(describe(Name, Row->second));
      IsMet = IsMet && Condition.at("rowVersion").get<std::uint64_t>() ==
                           (Exists ? Row->second.Version : 0);
    }
    if (!IsMet)
      return {412, answer(std::move(Present))};
    ++Version;
    for (const json &Put : Transaction.at("puts"))
      Rows[NameOf(Put)] = {Version, Put.at("value").get<std::string>()};
    for (const json &Delete : Transaction.at("deletes"))
      Rows[NameOf(Delete)] = {Version, ""};
    reply Reply{200, answer(json::array())};
    Changed.notify_all();
    Lock.unlock();
    if (Observe)
      for (const json &Put : Transaction.at("puts"))
        Observe(Put.at("tableName").get<std::string>(),
                Put.at("key").get<std::string>(),
                json::parse(decodeBase64(Put.at("value").get<std::string>()),
                            nullptr, false));
    return Reply;
  }

  reply promote(const fields &Headers, const json &Body) {
    promotion_order Order{
        Headers.at("x-radishrelay-duty-holder"),
        std::stoull(Headers.at("x-radishrelay-fencing-token")),
        Body.at("service").get<std::string>(),
        Body.at("id").get<std::string>()};
    Record.add("platform",
               "POST /promotion service=" + Order.Service +
                   " id=" + Order.Instance + " holder=" + Order.Holder +
                   " fencing token=" + std::to_string(Order.Generation));
    return {Promote ? Promote(Order) : 409, json::object()};
  }

  record &Record;
  promoter Promote;
  write_observer Observe;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool IsStopping = false;
  std::uint64_t Version = 100;
  std::map<row_name, row> Rows;
  server Store;
  server Promotions;
};

} // namespace review

#endif
