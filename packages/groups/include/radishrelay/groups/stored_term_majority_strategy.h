#ifndef RADISHRELAY_GROUPS_STORED_TERM_MAJORITY_STRATEGY_H
#define RADISHRELAY_GROUPS_STORED_TERM_MAJORITY_STRATEGY_H

#include "radishrelay/groups/majority_strategy.h"

namespace radishrelay::groups {

/// Default strategy: acknowledges writes as majority_strategy does, but
/// allocates terms in the table service, so that a term has exactly one owner
/// before any instance is raised to it.
class stored_term_majority_strategy : public majority_strategy {
public:
  [[nodiscard]] std::string_view name() const override {
    return "stored_term_majority";
  }
  [[nodiscard]] bool allocatesTermInStore() const override { return true; }
};

} // namespace radishrelay::groups

#endif
