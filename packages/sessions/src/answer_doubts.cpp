#include "radishrelay/sessions/detail/answer_doubts.h"

#include "radishrelay/base/logged_text.h"
#include "radishrelay/sessions/backend_reply.h"

namespace radishrelay::sessions::detail {

void answer_doubts::record(const backend_connection &Connection,
                           answer_doubt Doubt, const backend_reply *Reply) {
  ++Counters.AnswersInDoubt.at(static_cast<std::size_t>(Doubt));
  if (!Log.wantsDecision(true))
    return;
  base::json Fields = {
      {"instance", Connection.Instance.str()},
      {"connection", static_cast<std::uint64_t>(Connection.Number)},
      {"reason", doubtName(Doubt)}};
  if (!Connection.Outstanding.empty())
    Fields["request"] = verbName(Connection.Outstanding.front().Verb);
  if (Reply && Reply->Error)
    Fields["error"] = refusalName(*Reply->Error);
  if (Reply && !Reply->Receipt.empty())
    Fields["receipt"] = base::loggedText(Reply->Receipt);
  Log.decision("answer in doubt", Fields);
}

} // namespace radishrelay::sessions::detail
