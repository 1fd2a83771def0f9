#include "radishrelay/sessions/detail/store_calls.h"

namespace radishrelay::sessions::detail {

void store_calls::execute(const base::store_request &Request,
                          answer_handler Handler) {
  store_call_number Call{++LastCall};
  Handlers.emplace(Call, std::move(Handler));
  Port.execute(Call, Request);
}

void store_calls::promote(const base::group_id &Group,
                          const base::instance_id &Instance,
                          std::uint64_t Generation, base::time_point Deadline,
                          order_handler Handler) {
  store_call_number Call{++LastCall};
  OrderHandlers.emplace(Call, std::move(Handler));
  Port.promote(Call, Group, Instance, Generation, Deadline);
}

void store_calls::answered(store_call_number Call,
                           const base::store_answer &Answer,
                           base::time_point Now) {
  auto Entry = Handlers.extract(Call);
  if (!Entry.empty())
    Entry.mapped()(Answer, Now);
}

void store_calls::orderAnswered(store_call_number Call, order_outcome Outcome,
                                base::time_point Now) {
  auto Entry = OrderHandlers.extract(Call);
  if (!Entry.empty())
    Entry.mapped()(Outcome, Now);
}

} // namespace radishrelay::sessions::detail
