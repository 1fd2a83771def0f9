#include "radishrelay/accounts/loan_messages.h"

#include <stdexcept>
#include <string>

namespace radishrelay::accounts {

namespace {

base::json formatMessage(const loan_request &Request) {
  return {{"kind", "loan_request"},
          {"account", Request.Account.str()},
          {"borrower_incarnation", Request.BorrowerIncarnation},
          {"number", Request.Number},
          {"amount", Request.Amount}};
}

base::json formatMessage(const loan_grant &Grant) {
  return {{"kind", "loan_grant"},
          {"account", Grant.Account.str()},
          {"borrower_incarnation", Grant.BorrowerIncarnation},
          {"number", Grant.RequestNumber},
          {"lender_incarnation", Grant.LenderIncarnation},
          {"loan", Grant.Loan},
          {"amount", Grant.Amount},
          {"validity_us", Grant.Validity.count()}};
}

base::json formatMessage(const loan_reports &Message) {
  base::json Reports = base::json::array();
  for (const loan_report &Report : Message.Reports)
    Reports.push_back({{"account", Report.Account.str()},
                       {"lender_incarnation", Report.LenderIncarnation},
                       {"loan", Report.Loan},
                       {"spent", Report.Spent}});
  return {{"kind", "loan_reports"}, {"reports", Reports}};
}

base::account_id accountOf(const base::json &Object) {
  return base::account_id(Object.at("account").get<std::string>());
}

std::uint64_t numberOf(const base::json &Object, const char *Name) {
  return Object.at(Name).get<std::uint64_t>();
}

token_amount amountOf(const base::json &Object, const char *Name) {
  auto Amount = Object.at(Name).get<token_amount>();
  if (Amount < 0 || Amount > MaxLimit * OneToken)
    throw std::out_of_range(Name);
  return Amount;
}

loan_request parseRequest(const base::json &Object) {
  return {accountOf(Object), numberOf(Object, "borrower_incarnation"),
          numberOf(Object, "number"), amountOf(Object, "amount")};
}

loan_grant parseGrant(const base::json &Object) {
  return {accountOf(Object),
          numberOf(Object, "borrower_incarnation"),
          numberOf(Object, "number"),
          numberOf(Object, "lender_incarnation"),
          numberOf(Object, "loan"),
          amountOf(Object, "amount"),
          base::duration(Object.at("validity_us").get<std::int64_t>())};
}

loan_reports parseReports(const base::json &Object) {
  loan_reports Message;
  for (const base::json &Report : Object.at("reports"))
    Message.Reports.push_back(
        {accountOf(Report), numberOf(Report, "lender_incarnation"),
         numberOf(Report, "loan"), amountOf(Report, "spent")});
  return Message;
}

base::failure malformed(const std::string &Detail) {
  return {std::make_error_code(std::errc::bad_message), "parse limiter message",
          "", Detail};
}

} // namespace

base::json toJson(const limiter_message &Message) {
  return std::visit([](const auto &Body) { return formatMessage(Body); },
                    Message);
}

base::expected<limiter_message> parseLimiterMessage(const base::json &Object) {
  if (!Object.is_object())
    return malformed("the message is not a JSON object");
  try {
    auto Kind = Object.at("kind").get<std::string>();
    if (Kind == "loan_request")
      return limiter_message(parseRequest(Object));
    if (Kind == "loan_grant")
      return limiter_message(parseGrant(Object));
    if (Kind == "loan_reports")
      return limiter_message(parseReports(Object));
    return malformed("unknown message kind");
  } catch (const std::exception &Error) {
    return malformed(Error.what());
  }
}

} // namespace radishrelay::accounts
