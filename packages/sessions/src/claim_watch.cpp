#include "radishrelay/sessions/detail/claim_watch.h"

#include "radishrelay/sessions/promotion.h"

#include <algorithm>

namespace radishrelay::sessions::detail {

namespace {

/// Time for which a request of this host lasts if it is not repeated.
constexpr base::duration RequestLifetime = std::chrono::milliseconds(200);
/// Time to wait for a reader before the next one is asked: a read of a store
/// that takes thirty times as long as usual.
constexpr base::duration ReaderTimeout = std::chrono::milliseconds(120);
/// Time for which the reply to a request counts.
constexpr base::duration ReplyLifetime = std::chrono::seconds(2);
/// Time after which a read without an answer has failed.
constexpr base::duration ReadTimeout = std::chrono::seconds(1);
/// Time between an answer to a read and the next read. While an attempt to
/// promote is in progress each commit needs a read that is newer than itself.
constexpr base::duration ReadInterval = std::chrono::milliseconds(50);
/// Minimum and maximum delay after a failed read, which doubles with each
/// failure.
constexpr base::duration MinRetryDelay = std::chrono::milliseconds(50);
constexpr base::duration MaxRetryDelay = std::chrono::milliseconds(1600);
/// More than the number of hosts that ask one reader.
constexpr std::size_t MaxOpenRequests = 256;
/// Bytes of the claims in one reply; the rest of a datagram of 1,400 bytes is
/// left for its other fields.
constexpr std::size_t MaxClaimBytes = 1200;
/// Bytes that a claim takes beside its names: five numbers of up to five bytes
/// and the marks of its fields.
constexpr std::size_t ClaimNumberBytes = 35;

/// Divides a read of all claims into parts that fit into datagrams.
std::vector<claim_reading> inParts(const std::vector<base::table_row> &Rows,
                                   base::time_point ReadAt) {
  std::vector<claim_reading> Parts(1);
  std::size_t Bytes = 0;
  for (const base::table_row &Row : Rows) {
    base::group_id Group(Row.Key.Key);
    group_claim Claim{Group, viewOf(Row.Value), ledTermOf(Row.Value)};
    std::size_t ClaimBytes =
        Row.Key.Key.size() + Claim.View.Leader.str().size() + ClaimNumberBytes;
    Bytes += ClaimBytes;
    if (Bytes > MaxClaimBytes) {
      Parts.back().Range.To = Group;
      Parts.emplace_back().Range.From = Group;
      Bytes = ClaimBytes;
    }
    Parts.back().Range.Claims.push_back(std::move(Claim));
  }
  for (claim_reading &Part : Parts)
    Part.ReadAt = ReadAt;
  return Parts;
}

} // namespace

claim_watch::claim_watch(const engine_options &Options, store_calls &Store,
                         fleet_members &Members, reading_handler Handler)
    : Options(Options), Store(Store), Members(Members),
      Handler(std::move(Handler)) {}

void claim_watch::request(base::time_point ReadAt, base::time_point Now) {
  NeededAt = std::max(NeededAt, ReadAt);
  NeededUntil = Now + RequestLifetime;
  askIfDue(Now);
}

void claim_watch::askIfDue(base::time_point Now) {
  if (Now >= NeededUntil || ReplyDeadline || IsOwnReadNeeded)
    return;
  const std::vector<std::string> &Readers = Members.claimReaders();
  Reader = Reader < Readers.size() ? Reader : 0;
  bool IsOwnTurn = Readers.empty() || Readers[Reader] == Options.PeerAddress;
  if (IsOwnTurn) {
    IsOwnReadNeeded = true;
    readIfDue(Now);
    return;
  }
  ReplyDeadline = Now + ReaderTimeout;
  Asked.erase(Asked.begin(), Asked.lower_bound(Now - ReplyLifetime));
  Asked.insert(Now);
  Members.send(claim_request{Now, std::max(Now - NeededAt, base::duration{})},
               Readers[Reader]);
}

void claim_watch::readerFailed(base::time_point Now) {
  ReplyDeadline.reset();
  IsOwnReadNeeded = false;
  std::size_t Count = std::max<std::size_t>(Members.claimReaders().size(), 1);
  Reader = (Reader + 1) % Count;
  if (++FailedReaders < Count) {
    askIfDue(Now);
    return;
  }
  FailedReaders = 0;
  IsOverdue = true;
}

void claim_watch::receive(const claim_request &Request,
                          const std::string &ReplyTo, base::time_point Now) {
  open_request Open{Request, ReplyTo, Now};
  if (!Latest.empty() && Latest.front().ReadAt >= Open.readAt()) {
    reply(Open, true);
  } else if (RetryDelay > base::duration{} && Now < NextReadAt) {
    reply(Open, false);
  } else if (OpenRequests.size() < MaxOpenRequests) {
    OpenRequests.push_back(std::move(Open));
    readIfDue(Now);
  }
}

void claim_watch::reply(const open_request &Open, bool IsRead) {
  claim_reply Reply{Open.Request.SentAt, std::nullopt, {}};
  if (!IsRead) {
    Members.send(Reply, Open.ReplyTo);
    return;
  }
  for (const claim_reading &Part : Latest) {
    Reply.ReadDelay = Part.ReadAt - Open.ReceivedAt;
    Reply.Range = Part.Range;
    Members.send(Reply, Open.ReplyTo);
  }
}

void claim_watch::receive(const claim_reply &Reply, const std::string &Sender,
                          base::time_point Now) {
  bool IsAsked =
      Asked.contains(Reply.AskedAt) && Now <= Reply.AskedAt + ReplyLifetime;
  if (!IsAsked)
    return;
  const std::vector<std::string> &Readers = Members.claimReaders();
  bool IsAwaited =
      ReplyDeadline && Reader < Readers.size() && Readers[Reader] == Sender;
  if (!Reply.ReadDelay) {
    if (IsAwaited)
      readerFailed(Now);
    return;
  }
  // The reader received the request after it was sent, so AskedAt + ReadDelay
  // is no later than the read. A read in the future would never be outdated.
  if (*Reply.ReadDelay > Now - Reply.AskedAt)
    return;
  if (IsAwaited)
    ReplyDeadline.reset();
  handle({Reply.AskedAt + *Reply.ReadDelay, Reply.Range}, Now);
}

void claim_watch::handle(const claim_reading &Reading, base::time_point Now) {
  FailedReaders = 0;
  IsOverdue = false;
  if (Reading.ReadAt >= NeededAt)
    NeededUntil = {};
  Handler(Reading, Now);
}

void claim_watch::readIfDue(base::time_point Now) {
  bool IsNeeded = IsOwnReadNeeded || !OpenRequests.empty();
  if (!IsNeeded || ReadingSince || Now < NextReadAt)
    return;
  ReadingSince = Now;
  Store.execute(
      base::read_table{promotionClaimKey({}).Table},
      [this, Now](const auto &Answer, auto At) { onRead(Answer, Now, At); });
}

void claim_watch::onRead(const base::store_answer &Answer,
                         base::time_point SentAt, base::time_point Now) {
  if (ReadingSince != SentAt)
    return;
  ReadingSince.reset();
  if (Answer.Outcome != base::store_outcome::Done) {
    readFailed(Now);
    return;
  }
  RetryDelay = {};
  NextReadAt = Now + ReadInterval;
  Latest = inParts(Answer.Rows, SentAt);
  std::erase_if(OpenRequests, [&](const open_request &Open) {
    bool IsMet = SentAt >= Open.readAt();
    if (IsMet)
      reply(Open, true);
    return IsMet;
  });
  IsOwnReadNeeded = false;
  for (const claim_reading &Part : std::vector(Latest))
    handle(Part, Now);
}

void claim_watch::readFailed(base::time_point Now) {
  RetryDelay = std::clamp(RetryDelay * 2, MinRetryDelay, MaxRetryDelay);
  NextReadAt = Now + RetryDelay;
  for (const open_request &Open : std::exchange(OpenRequests, {}))
    reply(Open, false);
  if (IsOwnReadNeeded)
    readerFailed(Now);
}

void claim_watch::advance(base::time_point Now) {
  if (ReadingSince && Now >= *ReadingSince + ReadTimeout) {
    ReadingSince.reset();
    readFailed(Now);
  }
  if (ReplyDeadline && Now >= *ReplyDeadline)
    readerFailed(Now);
  askIfDue(Now);
  readIfDue(Now);
}

base::time_point claim_watch::nextWake() const {
  base::time_point Wake = ReplyDeadline.value_or(base::time_point::max());
  if (ReadingSince)
    Wake = std::min(Wake, *ReadingSince + ReadTimeout);
  else if (IsOwnReadNeeded || !OpenRequests.empty())
    Wake = std::min(Wake, NextReadAt);
  return Wake;
}

base::json claim_watch::dump() const {
  return {{"overdue", IsOverdue}, {"open_requests", OpenRequests.size()}};
}

} // namespace radishrelay::sessions::detail
