#ifndef RADISHRELAY_SESSIONS_DETAIL_STORE_CALLS_H
#define RADISHRELAY_SESSIONS_DETAIL_STORE_CALLS_H

#include "radishrelay/base/store_answer.h"
#include "radishrelay/sessions/coordination_port.h"
#include "radishrelay/sessions/order_outcome.h"

#include <functional>
#include <map>

namespace radishrelay::sessions::detail {

/// Assigns numbers to calls to the platform and passes each answer to the
/// handler of its call.
class store_calls {
public:
  using answer_handler =
      std::function<void(const base::store_answer &, base::time_point)>;
  using order_handler = std::function<void(order_outcome, base::time_point)>;

  explicit store_calls(coordination_port &Port) : Port(Port) {}

  void execute(const base::store_request &Request, answer_handler Handler);
  void promote(const base::group_id &Group, const base::instance_id &Instance,
               std::uint64_t Generation, base::time_point Deadline,
               order_handler Handler);
  void answered(store_call_number Call, const base::store_answer &Answer,
                base::time_point Now);
  void orderAnswered(store_call_number Call, order_outcome Outcome,
                     base::time_point Now);

private:
  coordination_port &Port;
  std::uint64_t LastCall = 0;
  std::map<store_call_number, answer_handler> Handlers;
  std::map<store_call_number, order_handler> OrderHandlers;
};

} // namespace radishrelay::sessions::detail

#endif
