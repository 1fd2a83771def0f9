#include "event_queue.h"

#include <utility>

namespace radishrelay::bench {

void event_queue::schedule(base::time_point At, callback Callback) {
  Events.push({std::max(At, Now), ++LastNumber, std::move(Callback)});
}

void event_queue::runUntil(base::time_point End) {
  while (!Events.empty() && Events.top().At < End) {
    event Next = Events.top();
    Events.pop();
    Now = Next.At;
    Next.Callback();
  }
  Now = End;
}

} // namespace radishrelay::bench
