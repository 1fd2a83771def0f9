#ifndef RADISHRELAY_GROUPS_QUEUE_ITEM_H
#define RADISHRELAY_GROUPS_QUEUE_ITEM_H

#include "radishrelay/groups/queued_request.h"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include <cstdint>
#include <utility>

namespace radishrelay::groups::detail {

/// A queued request with its hooks in three intrusive containers: the queue of
/// its client account, the set ordered by deadline and the index by id.
struct queue_item {
  queued_request Request;
  boost::intrusive::list_member_hook<> AccountHook;
  boost::intrusive::set_member_hook<> DeadlineHook;
  boost::intrusive::set_member_hook<> IdHook;
};

/// Key of items_by_deadline; the id makes it unique.
struct deadline_of_item {
  using type = std::pair<base::time_point, std::uint64_t>;
  type operator()(const queue_item &Item) const {
    return {Item.Request.Deadline, Item.Request.Id};
  }
};

struct id_of_item {
  using type = std::uint64_t;
  type operator()(const queue_item &Item) const { return Item.Request.Id; }
};

namespace intrusive = boost::intrusive;

using account_items = intrusive::list<
    queue_item,
    intrusive::member_hook<queue_item, intrusive::list_member_hook<>,
                           &queue_item::AccountHook>>;
using items_by_deadline = intrusive::set<
    queue_item,
    intrusive::member_hook<queue_item, intrusive::set_member_hook<>,
                           &queue_item::DeadlineHook>,
    intrusive::key_of_value<deadline_of_item>>;
using items_by_id = intrusive::set<
    queue_item,
    intrusive::member_hook<queue_item, intrusive::set_member_hook<>,
                           &queue_item::IdHook>,
    intrusive::key_of_value<id_of_item>>;

/// Queued requests of one client account.
struct account_queue {
  base::account_id Account;
  account_items Items;
  /// Sum of the costs of the items.
  base::duration Backlog{};
  /// Service time that the account may still use in this round (the deficit
  /// counter of deficit round robin).
  base::duration Deficit{};
  /// True once the quantum of the current round was added to Deficit.
  bool IsQuantumCredited = false;
  intrusive::list_member_hook<> RoundHook;
};

/// Accounts with queued requests in round-robin order.
using account_round = intrusive::list<
    account_queue,
    intrusive::member_hook<account_queue, intrusive::list_member_hook<>,
                           &account_queue::RoundHook>>;

} // namespace radishrelay::groups::detail

#endif
