#ifndef RADISHRELAY_SESSIONS_DETAIL_ANSWER_DOUBTS_H
#define RADISHRELAY_SESSIONS_DETAIL_ANSWER_DOUBTS_H

#include "radishrelay/sessions/answer_doubt.h"
#include "radishrelay/sessions/detail/backend_connection.h"
#include "radishrelay/sessions/engine_counters.h"
#include "radishrelay/sessions/event_log.h"

namespace radishrelay::sessions::detail {

/// Counts and logs answers in doubt.
class answer_doubts {
public:
  answer_doubts(engine_counters &Counters, event_log &Log)
      : Counters(Counters), Log(Log) {}

  /// Records the answer \p Reply on \p Connection; null if it was not read.
  void record(const backend_connection &Connection, answer_doubt Doubt,
              const backend_reply *Reply);

private:
  engine_counters &Counters;
  event_log &Log;
};

} // namespace radishrelay::sessions::detail

#endif
