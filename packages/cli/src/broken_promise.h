#ifndef RADISHRELAY_CLI_SRC_BROKEN_PROMISE_H
#define RADISHRELAY_CLI_SRC_BROKEN_PROMISE_H

#include <string>

namespace radishrelay::cli {

/// A promise of the system that a history can show to be broken.
enum class promise {
  AnswerBelongsToRequest,
  ReadSeesOwnWrites,
  AcknowledgedWriteIsKept,
  WriteRunsAtMostOnce,
  NotRunIsTrue,
  AccountStaysWithinRate,
};

/// A broken promise with what shows it.
struct broken_promise {
  promise Promise = promise::AnswerBelongsToRequest;
  std::string Detail;

  friend bool operator==(const broken_promise &,
                         const broken_promise &) = default;
};

/// Name of the promise in reports.
std::string_view toString(promise Promise);

} // namespace radishrelay::cli

#endif
