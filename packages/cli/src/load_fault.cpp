#include "load_fault.h"

#include <Poco/NumberParser.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <optional>
#include <sstream>
#include <vector>

namespace radishrelay::cli {

namespace {

using words = std::vector<std::string>;

constexpr std::array<std::string_view, 6> InstanceFaults{
    "kill", "revive", "cut", "join", "silence", "lose_commit_answer"};
constexpr std::array<std::string_view, 3> TimedFaults{"lag", "delay",
                                                      "service_time"};
constexpr std::array<std::string_view, 5> PlatformFaults{
    "none", "down", "slow", "lose_answers", "pause"};
constexpr std::array<std::string_view, 5> HostFaults{"kill", "stop", "cont",
                                                     "term", "start"};

template <typename Names>
bool isOneOf(const Names &Allowed, const std::string &Word) {
  return std::find(Allowed.begin(), Allowed.end(), Word) != Allowed.end();
}

std::optional<std::int64_t> readNumber(const std::string &Text) {
  constexpr std::int64_t Highest = 3'600'000;
  Poco::Int64 Number = 0;
  if (!Poco::NumberParser::tryParse64(Text, Number) || Number < 0 ||
      Number > Highest)
    return std::nullopt;
  return Number;
}

std::optional<base::duration> readTime(const std::string &Text) {
  bool IsMilliseconds = Text.ends_with("ms");
  if (!IsMilliseconds && !Text.ends_with("s"))
    return std::nullopt;
  auto Number = readNumber(Text.substr(0, Text.size() - 1 - IsMilliseconds));
  if (!Number)
    return std::nullopt;
  if (IsMilliseconds)
    return base::duration(std::chrono::milliseconds(*Number));
  return base::duration(std::chrono::seconds(*Number));
}

bool readInstanceFault(const words &Words, load_fault &Fault) {
  constexpr std::size_t Plain = 4;
  constexpr std::string_view InstancePrefix = "instance=";
  if (Words.size() < Plain || !Words[2].starts_with(InstancePrefix))
    return false;
  Fault.Subject = fault_subject::Instance;
  Fault.Target = Words[1].substr(Words[1].find('=') + 1);
  auto Instance = readNumber(Words[2].substr(InstancePrefix.size()));
  if (!Instance || Fault.Target.empty())
    return false;
  Fault.Instance = static_cast<std::size_t>(*Instance);
  Fault.Action = Words[3];
  if (Words.size() == Plain)
    return isOneOf(InstanceFaults, Fault.Action);
  auto Time = readNumber(Words[Plain]);
  Fault.Milliseconds = Time.value_or(0);
  return Time && Words.size() == Plain + 1 &&
         isOneOf(TimedFaults, Fault.Action);
}

bool readPlatformFault(const words &Words, load_fault &Fault) {
  if (Words.size() < 3 || Words.size() > 4)
    return false;
  Fault.Subject = fault_subject::Platform;
  Fault.Action = Words[2];
  auto Time = Words.size() == 4 ? readNumber(Words[3]) : 0;
  Fault.Milliseconds = Time.value_or(0);
  return Time && isOneOf(PlatformFaults, Fault.Action);
}

bool readHostFault(const words &Words, load_fault &Fault) {
  if (Words.size() != 4)
    return false;
  Fault.Subject = fault_subject::Host;
  Fault.Target = Words[2];
  Fault.Action = Words[3];
  return isOneOf(HostFaults, Fault.Action);
}

bool readWithdrawal(const words &Words, load_fault &Fault) {
  if (Words.size() != 3)
    return false;
  Fault.Subject = fault_subject::Key;
  Fault.Target = Words[2];
  Fault.Action = "withdraw";
  std::size_t Slash = Fault.Target.find('/');
  return Slash != std::string::npos && Slash > 0 &&
         Slash + 1 < Fault.Target.size();
}

bool readFault(const words &Words, load_fault &Fault) {
  if (Words.size() < 2)
    return false;
  auto At = readTime(Words[0]);
  if (!At)
    return false;
  Fault.At = *At;
  if (Words[1].starts_with("group="))
    return readInstanceFault(Words, Fault);
  if (Words[1] == "platform")
    return readPlatformFault(Words, Fault);
  if (Words[1] == "host")
    return readHostFault(Words, Fault);
  return Words[1] == "withdraw" && readWithdrawal(Words, Fault);
}

} // namespace

base::expected<load_fault> parseLoadFault(const std::string &Text) {
  std::istringstream Input(Text);
  words Words(std::istream_iterator<std::string>(Input), {});
  load_fault Fault;
  if (readFault(Words, Fault))
    return Fault;
  return base::failure{
      std::make_error_code(std::errc::invalid_argument), "parse fault",
      "\"" + Text + "\"",
      "allowed: TIME group=G instance=N FAULT [MS], TIME platform FAULT [MS], "
      "TIME host H kill|stop|cont|term|start, TIME withdraw ACCOUNT/KEY"};
}

} // namespace radishrelay::cli
