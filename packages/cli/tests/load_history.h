#ifndef RADISHRELAY_CLI_TESTS_LOAD_HISTORY_H
#define RADISHRELAY_CLI_TESTS_LOAD_HISTORY_H

#include "history_checker.h"

namespace radishrelay::cli::tests {

/// A history that keeps every promise: five writes of one session, each
/// followed by a read that finds it. Tests break one promise in it.
inline load_history soundHistory() {
  constexpr std::uint64_t Pairs = 5;
  load_history History;
  History.Accounts = {{"installers", 10, 10, 10, ""}};
  History.Rows.emplace();
  for (std::uint64_t Number = 0; Number < 2 * Pairs; ++Number) {
    bool Reads = Number % 2 == 1;
    request_record Record;
    Record.Plan.Number = Number;
    Record.Plan.At = std::chrono::milliseconds(100 * Number);
    Record.Plan.Kind = Reads ? request_kind::Read : request_kind::Write;
    Record.Sent = Record.Plan.At;
    Record.Done = Record.Sent + std::chrono::milliseconds(10);
    Record.Status = 200;
    Record.Ran = groups::ran_state::Yes;
    Record.Id = "id-" + std::to_string(Number);
    Record.Echo = Record.Id;
    if (Reads) {
      Record.Subject = "id-" + std::to_string(Number - 1);
      Record.Found = 1;
    } else {
      (*History.Rows)[Record.Id] = 1;
    }
    History.Records.push_back(Record);
  }
  return History;
}

/// Makes a record one of a request that got no success.
inline void refuse(request_record &Record, int Status, groups::ran_state Ran) {
  Record.Status = Status;
  Record.Ran = Ran;
  Record.Echo.clear();
}

/// The promises that the checkers find broken.
inline std::vector<promise> brokenIn(const load_history &History) {
  std::vector<promise> Found;
  for (const broken_promise &Broken : checkHistory(History))
    Found.push_back(Broken.Promise);
  return Found;
}

} // namespace radishrelay::cli::tests

#endif
