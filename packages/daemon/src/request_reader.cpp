#include "radishrelay/daemon/request_reader.h"

#include "radishrelay/accounts/client_key.h"
#include "radishrelay/base/digest.h"

#include <Poco/NumberParser.h>

#include <string_view>

namespace radishrelay::daemon {

namespace {

constexpr std::string_view RoutePrefix = "/v1/routes/";
constexpr std::string_view TransactionPath = "/v1/transactions";
constexpr std::string_view CommitSuffix = "/commit";
constexpr std::string_view RollbackSuffix = "/rollback";
constexpr std::size_t MaxIdempotencyKeyBytes = 255;

problem refuse(problem_code Code, std::string Detail) {
  return {Code, groups::ran_state::No, std::move(Detail), "read request", "",
          0};
}

/// Parses one request in steps. A step that fails sets Problem and returns
/// false.
class reader {
public:
  reader(const http_request &Request, const service_view_ptr &View,
         base::time_point Now)
      : Request(Request) {
    Result.Connection = Request.Connection;
    Result.View = View;
    Result.ReceivedAt = Now;
  }

  std::variant<caller_request, problem> read() {
    using step = bool (reader::*)();
    constexpr step Steps[] = {&reader::readTarget, &reader::readKey,
                              &reader::readTimeout, &reader::readHeaders,
                              &reader::readBody};
    for (step Step : Steps)
      if (!(this->*Step)())
        return withStep(Problem);
    return std::move(Result);
  }

private:
  bool fail(problem_code Code, std::string Detail) {
    Problem = refuse(Code, std::move(Detail));
    return false;
  }

  /// Sets the step of a key problem to "verify key". The decision thread
  /// reports the same step if the key is withdrawn after this check.
  static problem withStep(problem Problem) {
    if (Problem.Code == problem_code::KeyMissing ||
        Problem.Code == problem_code::KeyInvalid)
      Problem.Step = "verify key";
    return Problem;
  }

  bool readTarget() {
    std::string_view Path = Request.Path;
    bool IsRoute = Path.starts_with(RoutePrefix);
    if (!IsRoute && !Path.starts_with(TransactionPath))
      return fail(problem_code::RouteUnknown, "no such path");
    if (Request.Method != "POST")
      return fail(problem_code::MethodNotAllowed, "POST is required");
    if (IsRoute)
      return readRoute(Path.substr(RoutePrefix.size()));
    return readTransactionPath(Path.substr(TransactionPath.size()));
  }

  bool readRoute(std::string_view Name) {
    Result.Route = Result.View->Configuration.findRoute(Name);
    if (!Result.Route)
      return fail(problem_code::RouteUnknown, "no route of this name");
    Result.Group = Result.Route->Group;
    return true;
  }

  bool readTransactionPath(std::string_view Rest) {
    if (Rest.empty()) {
      Result.Operation = caller_operation::OpenTransaction;
      return true;
    }
    if (Rest.front() != '/')
      return fail(problem_code::RouteUnknown, "no such path");
    Rest.remove_prefix(1);
    std::string_view Suffix;
    if (Rest.ends_with(CommitSuffix)) {
      Result.Operation = caller_operation::CommitTransaction;
      Suffix = CommitSuffix;
    } else if (Rest.ends_with(RollbackSuffix)) {
      Result.Operation = caller_operation::RollbackTransaction;
      Suffix = RollbackSuffix;
    } else {
      return fail(problem_code::RouteUnknown, "no such path");
    }
    Result.Transaction = Rest.substr(0, Rest.size() - Suffix.size());
    return true;
  }

  bool readKey() {
    std::string Header = Request.header("Authorization");
    bool IsOpen = Result.Route && Result.Route->Open;
    if (Header.empty() && IsOpen)
      return true;
    if (Header.empty())
      return fail(problem_code::KeyMissing,
                  "send the key as Authorization: Bearer KEY");
    auto Token = accounts::bearerToken(Header);
    if (!Token)
      return fail(problem_code::KeyInvalid, "not a bearer token");
    auto Key = Result.View->Keys.verify(*Token);
    if (!Key)
      return fail(problem_code::KeyInvalid, "unknown or withdrawn key");
    Result.Key = std::move(*Key);
    return true;
  }

  bool readTimeout() {
    std::string Text = Request.header("Radishrelay-Timeout");
    Poco::Int64 Milliseconds = DefaultTimeoutMilliseconds;
    bool IsNumber =
        Text.empty() || Poco::NumberParser::tryParse64(Text, Milliseconds);
    if (!IsNumber || Milliseconds < 1 || Milliseconds > MaxTimeoutMilliseconds)
      return fail(problem_code::ParametersInvalid,
                  "Radishrelay-Timeout: a number from 1 to 60000");
    Result.Deadline =
        Result.ReceivedAt + std::chrono::milliseconds(Milliseconds);
    return true;
  }

  bool readHeaders() {
    Result.IdempotencyKey = Request.header("Idempotency-Key");
    if (Result.IdempotencyKey.size() > MaxIdempotencyKeyBytes)
      return fail(problem_code::ParametersInvalid,
                  "Idempotency-Key: at most 255 bytes");
    if (!Result.IdempotencyKey.empty() && !Result.Key)
      return fail(problem_code::KeyMissing,
                  "an Idempotency-Key belongs to a client account");
    Result.Session = Request.header("Radishrelay-Session");
    if (Result.Transaction.empty())
      Result.Transaction = Request.header("Radishrelay-Transaction");
    if (!Result.Transaction.empty() && !Result.Key)
      return fail(problem_code::KeyMissing,
                  "a transaction belongs to a client account");
    return true;
  }

  bool readBody() {
    if (!Request.Body.empty()) {
      Body = base::json::parse(Request.Body, nullptr, false);
      if (!Body.is_object())
        return fail(problem_code::BodyMalformed, "expected a JSON object");
    }
    if (Result.Operation == caller_operation::OpenTransaction)
      return readGroup();
    if (Result.Operation != caller_operation::RunRoute)
      return true;
    Result.BodyDigest =
        base::encodeHex(base::sha256(Result.Route->Name + "\n" + Request.Body));
    return readParameters();
  }

  bool readGroup() {
    if (!Body.contains("group") || !Body["group"].is_string())
      return fail(problem_code::BodyMalformed, "expected {\"group\":NAME}");
    std::string Name = Body["group"].get<std::string>();
    if (!Result.View->Configuration.findGroup(Name))
      return fail(problem_code::ParametersInvalid, "no group of this name");
    Result.Group = base::group_id(Name);
    return true;
  }

  bool readParameters() {
    base::json Values = base::json::object();
    if (Body.contains("parameters"))
      Values = Body["parameters"];
    if (!Values.is_object())
      return fail(problem_code::BodyMalformed, "parameters: a JSON object");
    for (const auto &Member : Values.items())
      if (!isParameter(Member.key()))
        return fail(problem_code::ParametersInvalid,
                    "unknown parameter \"" + Member.key() + "\"");
    for (const std::string &Name : Result.Route->Parameters) {
      if (!Values.contains(Name))
        return fail(problem_code::ParametersInvalid,
                    "parameter \"" + Name + "\" is missing");
      if (!addParameter(Name, Values[Name]))
        return false;
    }
    return true;
  }

  [[nodiscard]] bool isParameter(const std::string &Name) const {
    for (const std::string &Known : Result.Route->Parameters)
      if (Known == Name)
        return true;
    return false;
  }

  bool addParameter(const std::string &Name, const base::json &Value) {
    if (Value.is_structured())
      return fail(problem_code::ParametersInvalid,
                  "parameter \"" + Name +
                      "\": a string, number, boolean or null");
    if (Value.is_null())
      Result.Parameters.emplace_back(std::nullopt);
    else if (Value.is_string())
      Result.Parameters.emplace_back(Value.get<std::string>());
    else
      Result.Parameters.emplace_back(Value.dump());
    return true;
  }

  const http_request &Request;
  caller_request Result;
  base::json Body = base::json::object();
  problem Problem;
};

} // namespace

std::variant<caller_request, problem>
readCallerRequest(const http_request &Request, const service_view_ptr &View,
                  base::time_point Now) {
  return reader(Request, View, Now).read();
}

} // namespace radishrelay::daemon
