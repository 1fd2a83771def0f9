#ifndef RADISHRELAY_BASE_BOUNDED_RING_H
#define RADISHRELAY_BASE_BOUNDED_RING_H

#include "radishrelay/base/monotonic_clock.h"

#include <boost/circular_buffer.hpp>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

namespace radishrelay::base {

/// A thread-safe queue of fixed capacity.
///
/// A push to a full ring fails instead of growing it, so that an overloaded
/// stage refuses work rather than running out of memory.
template <typename T> class bounded_ring {
public:
  explicit bounded_ring(std::size_t Capacity) : Items(Capacity) {}

  bounded_ring(const bounded_ring &) = delete;
  bounded_ring &operator=(const bounded_ring &) = delete;

  /// Returns false and leaves \p Item unchanged if the ring is full or closed.
  bool tryPush(T &&Item) {
    std::lock_guard Guard(Mutex);
    if (Closed || Items.full())
      return false;
    pushLocked(std::move(Item));
    return true;
  }

  /// Waits for space until \p Deadline. Returns false and leaves \p Item
  /// unchanged if the ring stays full or is closed.
  bool pushUntil(T &&Item, time_point Deadline) {
    std::unique_lock Lock(Mutex);
    auto HasRoom = [this] { return Closed || !Items.full(); };
    if (!NotFull.wait_for(Lock, Deadline - monotonic_clock::now(), HasRoom))
      return false;
    if (Closed)
      return false;
    pushLocked(std::move(Item));
    return true;
  }

  /// Waits for an item until \p Deadline. Returns nothing if no item arrives or
  /// the ring is closed and empty.
  std::optional<T> popUntil(time_point Deadline) {
    std::unique_lock Lock(Mutex);
    auto HasItem = [this] { return Closed || !Items.empty(); };
    if (Items.empty())
      NotEmpty.wait_for(Lock, Deadline - monotonic_clock::now(), HasItem);
    return popLocked();
  }

  std::optional<T> tryPop() {
    std::lock_guard Guard(Mutex);
    return popLocked();
  }

  /// Makes further pushes fail. Items already in the ring can still be popped.
  void close() {
    std::lock_guard Guard(Mutex);
    Closed = true;
    NotEmpty.notify_all();
    NotFull.notify_all();
  }

  [[nodiscard]] bool closed() const {
    std::lock_guard Guard(Mutex);
    return Closed;
  }

  [[nodiscard]] std::size_t size() const {
    std::lock_guard Guard(Mutex);
    return Items.size();
  }

private:
  void pushLocked(T &&Item) {
    Items.push_back(std::move(Item));
    NotEmpty.notify_one();
  }

  std::optional<T> popLocked() {
    if (Items.empty())
      return std::nullopt;
    std::optional<T> Item(std::move(Items.front()));
    Items.pop_front();
    NotFull.notify_one();
    return Item;
  }

  mutable std::mutex Mutex;
  std::condition_variable NotEmpty;
  std::condition_variable NotFull;
  boost::circular_buffer<T> Items;
  bool Closed = false;
};

} // namespace radishrelay::base

#endif
