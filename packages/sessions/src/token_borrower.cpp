#include "radishrelay/sessions/detail/token_borrower.h"

#include <algorithm>

namespace radishrelay::sessions::detail {

namespace {

/// Time to wait for a lender before the next one is asked: ten round trips
/// between failure domains.
constexpr base::duration LenderTimeout = std::chrono::milliseconds(10);

} // namespace

std::optional<std::string>
token_borrower::start(const base::account_id &Account,
                      std::vector<std::string> Lenders, base::time_point Now) {
  round &Round = Rounds[Account];
  Round.Lenders = std::move(Lenders);
  Round.Asked = 0;
  Round.StartedAt = Now;
  Round.IsOpen = true;
  return askNext(Round, Now);
}

std::optional<std::string> token_borrower::askNext(round &Round,
                                                   base::time_point Now) {
  if (Round.Asked == Round.Lenders.size()) {
    Round.IsOpen = false;
    Round.ExhaustedFrom = Round.StartedAt;
    HasExhausted = true;
    return std::nullopt;
  }
  Round.AnswerDeadline = Now + LenderTimeout;
  return Round.Lenders[Round.Asked++];
}

bool token_borrower::isAsking(const base::account_id &Account) const {
  auto Entry = Rounds.find(Account);
  return Entry != Rounds.end() && Entry->second.IsOpen;
}

std::optional<std::string>
token_borrower::answered(const base::account_id &Account,
                         const std::string &Lender, bool Granted,
                         base::time_point Now) {
  auto Entry = Rounds.find(Account);
  if (Entry == Rounds.end() || !Entry->second.IsOpen)
    return std::nullopt;
  round &Round = Entry->second;
  if (Granted) {
    Round.IsOpen = false;
    return std::nullopt;
  }
  // A late refusal of a lender that was skipped is ignored.
  bool IsAwaited = Round.Asked > 0 && Round.Lenders[Round.Asked - 1] == Lender;
  return IsAwaited ? askNext(Round, Now) : std::nullopt;
}

std::map<base::account_id, std::string>
token_borrower::advance(base::time_point Now) {
  std::map<base::account_id, std::string> Result;
  for (auto &[Account, Round] : Rounds)
    if (Round.IsOpen && Now >= Round.AnswerDeadline)
      if (std::optional<std::string> Next = askNext(Round, Now))
        Result.emplace(Account, *Next);
  return Result;
}

base::time_point token_borrower::nextDeadline() const {
  base::time_point Next = base::time_point::max();
  for (const auto &[Account, Round] : Rounds)
    if (Round.IsOpen)
      Next = std::min(Next, Round.AnswerDeadline);
  return Next;
}

bool token_borrower::isExhausted(const base::account_id &Account,
                                 base::time_point Since) const {
  auto Entry = Rounds.find(Account);
  return Entry != Rounds.end() && Entry->second.ExhaustedFrom >= Since;
}

bool token_borrower::takeExhausted() {
  return std::exchange(HasExhausted, false);
}

} // namespace radishrelay::sessions::detail
