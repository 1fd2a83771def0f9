#ifndef RADISHRELAY_GROUPS_STORED_TERM_MAJORITY_STRATEGY_H
#define RADISHRELAY_GROUPS_STORED_TERM_MAJORITY_STRATEGY_H

#include "radishrelay/groups/majority_strategy.h"

namespace radishrelay::groups {

/// The default: acknowledgement by majority, terms allocated in the table
/// service, so that exactly one promoter owns a term from the start.
class stored_term_majority_strategy : public majority_strategy {
public:
  [[nodiscard]] std::string_view name() const override {
    return "stored_term_majority";
  }
  [[nodiscard]] bool allocatesTermInStore() const override { return true; }
};

} // namespace radishrelay::groups

#endif
