#ifndef RADISHRELAY_GROUPS_STORE_CALL_ANSWER_H
#define RADISHRELAY_GROUPS_STORE_CALL_ANSWER_H

#include "radishrelay/base/store_answer.h"
#include "radishrelay/groups/store_call.h"

namespace radishrelay::groups {

/// Event: the store_call with the same number has ended.
struct store_call_answer {
  store_call_id Id = 0;
  base::store_answer Answer;

  friend bool operator==(const store_call_answer &,
                         const store_call_answer &) = default;
};

} // namespace radishrelay::groups

#endif
