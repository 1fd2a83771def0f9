#ifndef RADISHRELAY_GROUPS_QUEUE_ITEM_H
#define RADISHRELAY_GROUPS_QUEUE_ITEM_H

#include "radishrelay/groups/queued_request.h"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include <cstdint>
#include <utility>

namespace radishrelay::groups::detail {

/// A queued request with its places in the queue of its client account, in the
/// order of deadlines and in the index by id.
struct queue_item {
  queued_request Request;
  boost::intrusive::list_member_hook<> InAccount;
  boost::intrusive::set_member_hook<> InDeadlines;
  boost::intrusive::set_member_hook<> InIds;
};

/// Key of the order by deadline, unique through the id.
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
                           &queue_item::InAccount>>;
using items_by_deadline = intrusive::set<
    queue_item,
    intrusive::member_hook<queue_item, intrusive::set_member_hook<>,
                           &queue_item::InDeadlines>,
    intrusive::key_of_value<deadline_of_item>>;
using items_by_id = intrusive::set<
    queue_item,
    intrusive::member_hook<queue_item, intrusive::set_member_hook<>,
                           &queue_item::InIds>,
    intrusive::key_of_value<id_of_item>>;

/// Queue of one client account.
struct account_queue {
  base::account_id Account;
  account_items Items;
  /// Sum of the costs of the items.
  base::duration Backlog{};
  /// Service that the account may still receive in its turn.
  base::duration Deficit{};
  /// True once the account has received the quantum of its current turn.
  bool HasTurn = false;
  intrusive::list_member_hook<> InRound;
};

/// Accounts with queued requests in the order of their turns.
using account_round = intrusive::list<
    account_queue,
    intrusive::member_hook<account_queue, intrusive::list_member_hook<>,
                           &account_queue::InRound>>;

} // namespace radishrelay::groups::detail

#endif
