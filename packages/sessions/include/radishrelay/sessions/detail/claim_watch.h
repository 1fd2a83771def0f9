#ifndef RADISHRELAY_SESSIONS_DETAIL_CLAIM_WATCH_H
#define RADISHRELAY_SESSIONS_DETAIL_CLAIM_WATCH_H

#include "radishrelay/sessions/detail/fleet_members.h"
#include "radishrelay/sessions/detail/peer_message.h"
#include "radishrelay/sessions/detail/store_calls.h"
#include "radishrelay/sessions/engine_options.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace radishrelay::sessions::detail {

/// The claims of the groups from From up to, but without, To (all following
/// ones if it is empty), as a read of the store has shown them.
struct claim_reading {
  /// When the read was sent. It shows every claim written before.
  base::time_point ReadAt;
  claim_range Range;
};

/// Reads the claims of all groups at once, for the hosts of a failure domain.
///
/// A host that needs to know the claims asks a reader, a host of the domain
/// that up to 64 others ask first, and reads by itself only if none of the
/// readers can tell. One read answers all that ask in the meantime, so the
/// calls to the store grow with the number of readers, and not with groups or
/// commits.
class claim_watch {
public:
  using reading_handler =
      std::function<void(const claim_reading &, base::time_point)>;

  /// \p Handler is called with each reading, own or of another host.
  claim_watch(const engine_options &Options, store_calls &Store,
              fleet_members &Members, reading_handler Handler);

  /// Requests a reading that is not older than \p ReadAt. The request lapses
  /// unless it is repeated.
  void request(base::time_point ReadAt, base::time_point Now);
  void receive(const claim_request &Request, const std::string &ReplyTo,
               base::time_point Now);
  void receive(const claim_reply &Reply, const std::string &Reader,
               base::time_point Now);
  void advance(base::time_point Now);
  [[nodiscard]] base::time_point nextWake() const;
  /// Whether neither a reader nor this host could read the claims when they
  /// were needed last.
  [[nodiscard]] bool isOverdue() const { return IsOverdue; }
  [[nodiscard]] base::json dump() const;

private:
  /// A request of another host that waits for a read.
  struct open_request {
    claim_request Request;
    std::string ReplyTo;
    base::time_point ReceivedAt;

    [[nodiscard]] base::time_point readAt() const {
      return ReceivedAt - Request.MaxAge;
    }
  };

  void askIfDue(base::time_point Now);
  /// The reader did not answer in time, or could not read.
  void readerFailed(base::time_point Now);
  void readIfDue(base::time_point Now);
  void onRead(const base::store_answer &Answer, base::time_point SentAt,
              base::time_point Now);
  void readFailed(base::time_point Now);
  void handle(const claim_reading &Reading, base::time_point Now);
  void reply(const open_request &Open, bool IsRead);

  engine_options Options;
  store_calls &Store;
  fleet_members &Members;
  reading_handler Handler;

  /// The reading that this host needs, and until when.
  base::time_point NeededAt;
  base::time_point NeededUntil;
  /// The reader that is asked, as an index into the list of readers, and how
  /// many in turn have failed.
  std::size_t Reader = 0;
  std::size_t FailedReaders = 0;
  std::optional<base::time_point> ReplyDeadline;
  /// Send times of the requests whose replies still count.
  std::set<base::time_point> Asked;
  bool IsOverdue = false;

  std::vector<open_request> OpenRequests;
  /// Latest reading of this host itself, in parts that fit into datagrams.
  std::vector<claim_reading> Latest;
  bool IsOwnReadNeeded = false;
  /// When the read in progress was sent.
  std::optional<base::time_point> ReadingSince;
  base::time_point NextReadAt;
  base::duration RetryDelay{};
};

} // namespace radishrelay::sessions::detail

#endif
