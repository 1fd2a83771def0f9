#include "load_account.h"

#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>

namespace radishrelay::cli {

namespace {

bool readNumber(const std::string &Text, std::int64_t Lowest,
                std::int64_t &Number) {
  constexpr std::int64_t Highest = 10'000'000;
  Poco::Int64 Parsed = 0;
  if (!Poco::NumberParser::tryParse64(Text, Parsed))
    return false;
  Number = Parsed;
  return Number >= Lowest && Number <= Highest;
}

} // namespace

base::expected<load_account> parseLoadAccount(const std::string &Name,
                                              const std::string &Text) {
  constexpr std::size_t PartsWithoutKey = 3;
  Poco::StringTokenizer Parts(Text, ",", Poco::StringTokenizer::TOK_TRIM);
  load_account Account;
  Account.Name = Name;
  bool Valid = !Name.empty() && (Parts.count() == PartsWithoutKey ||
                                 Parts.count() == PartsWithoutKey + 1);
  Valid = Valid && readNumber(Parts[0], 0, Account.OfferedPerSecond) &&
          readNumber(Parts[1], 0, Account.RatePerSecond) &&
          readNumber(Parts[2], 1, Account.Burst);
  if (!Valid)
    return base::failure{std::make_error_code(std::errc::invalid_argument),
                         "parse account", Name,
                         "allowed: OFFERED,RATE,BURST[,KEY] in requests per "
                         "second, burst at least 1"};
  if (Parts.count() > PartsWithoutKey)
    Account.Key = Parts[PartsWithoutKey];
  return Account;
}

} // namespace radishrelay::cli
