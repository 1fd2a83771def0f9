#include "radishrelay/sessions/detail/peer_message.h"

#include "radishrelay/base/json.h"

#include <stdexcept>

namespace radishrelay::sessions::detail {

namespace {

using base::json;

// Message kinds: the first element of an encoded datagram.
constexpr int TokenRequestKind = 1;
constexpr int TokenGrantKind = 2;
constexpr int ProofRequestKind = 3;
constexpr int ProofReplyKind = 4;
constexpr int VoteKind = 5;
constexpr int ReportKind = 6;
constexpr int ReportRequestKind = 7;
constexpr int ClaimRequestKind = 8;
constexpr int ClaimReplyKind = 9;
constexpr int CommitInquiryKind = 10;
constexpr int CommitReportKind = 11;
constexpr int ContactRequestKind = 12;
constexpr int ContactReplyKind = 13;

void packPosition(json &Packed,
                  const std::optional<groups::log_position> &Position) {
  if (!Position)
    return;
  Packed.push_back(Position->Term);
  Packed.push_back(Position->Offset);
}

struct packer {
  const std::string &ReplyTo;

  json tokens(int Kind, const accounts::token_transfer &Transfer,
              const std::optional<base::time_point> &AskedAt) const {
    json Result =
        json::array({Kind, ReplyTo, Transfer.Account.str(), Transfer.Tokens});
    if (AskedAt)
      Result.push_back(base::toMicroseconds(*AskedAt));
    return Result;
  }
  json operator()(const token_request &Request) const {
    return tokens(TokenRequestKind, Request.Transfer, Request.AskedAt);
  }
  json operator()(const token_grant &Grant) const {
    return tokens(TokenGrantKind, Grant.Transfer, Grant.AskedAt);
  }
  json operator()(const proof_request &Request) const {
    return json::array({ProofRequestKind, ReplyTo, Request.Group.str(),
                        base::toMicroseconds(Request.SentAt)});
  }
  json operator()(const proof_reply &Reply) const {
    json Result =
        json::array({ProofReplyKind, ReplyTo, Reply.Group.str(),
                     base::toMicroseconds(Reply.AskedAt), Reply.Primary.str(),
                     Reply.Term, Reply.Age.count()});
    packPosition(Result, Reply.Position);
    if (Reply.Position)
      Result.push_back(Reply.PositionAge.count());
    packPosition(Result, Reply.Replicated);
    return Result;
  }
  json operator()(const contact_request &Request) const {
    return json::array(
        {ContactRequestKind, ReplyTo, base::toMicroseconds(Request.SentAt)});
  }
  json operator()(const contact_reply &Reply) const {
    return json::array(
        {ContactReplyKind, ReplyTo, base::toMicroseconds(Reply.AskedAt)});
  }
  json operator()(const commit_inquiry &Inquiry) const {
    return json::array({CommitInquiryKind, ReplyTo, Inquiry.Group.str(),
                        Inquiry.Term, Inquiry.Round});
  }
  json operator()(const commit_report &Report) const {
    json Result = json::array({CommitReportKind, ReplyTo, Report.Group.str(),
                               Report.Round, Report.Host.str(),
                               Report.RunningFor.count()});
    packPosition(Result, Report.Acknowledged);
    return Result;
  }
  json operator()(const promotion_vote &Vote) const {
    return json::array({VoteKind, ReplyTo, Vote.Group.str(), Vote.Term,
                        Vote.Host.str(), Vote.Domain.str()});
  }
  json operator()(const report_request &) const {
    return json::array({ReportRequestKind, ReplyTo});
  }
  json operator()(const claim_request &Request) const {
    return json::array({ClaimRequestKind, ReplyTo,
                        base::toMicroseconds(Request.SentAt),
                        Request.MaxAge.count()});
  }
  json operator()(const claim_reply &Reply) const {
    json Result = json::array(
        {ClaimReplyKind, ReplyTo, base::toMicroseconds(Reply.AskedAt)});
    if (!Reply.ReadDelay)
      return Result;
    Result.push_back(Reply.ReadDelay->count());
    Result.push_back(Reply.Range.From.str());
    Result.push_back(Reply.Range.To.str());
    for (const group_claim &Claim : Reply.Range.Claims) {
      const claim_view &View = Claim.View;
      json Packed = json::array({Claim.Group.str(), View.AnnouncedTerm,
                                 View.IsAttemptInProgress, Claim.LedTerm,
                                 View.Leader.str(), View.LeaderTerm});
      packPosition(Packed, View.Replicated);
      Result.push_back(std::move(Packed));
    }
    return Result;
  }
  json operator()(const watch_report &Report) const {
    json Result = json::array(
        {ReportKind, ReplyTo, Report.HostsDigest, Report.HostsAge.count()});
    for (const source_report &Source : Report.Sources) {
      Result.push_back(json::array(
          {Source.IsKnown, Source.ChangedVersion, Source.Age.count()}));
      if (Source.Digest != 0)
        Result.back().push_back(Source.Digest);
    }
    return Result;
  }
};

/// Throws unless \p Packed is the age of something known. A negative age would
/// count as evidence from the future, which nothing outdates.
base::duration unpackAge(const json &Packed) {
  if (!Packed.is_number_integer() || Packed.get<std::int64_t>() < 0)
    throw std::out_of_range("not an age");
  return base::duration(Packed.get<std::int64_t>());
}

promotion_vote unpackVote(const json &Packed) {
  return {base::group_id(Packed.at(2).get<std::string>()),
          Packed.at(3).get<groups::term_number>(),
          base::host_id(Packed.at(4).get<std::string>()),
          base::failure_domain_id(Packed.at(5).get<std::string>())};
}

accounts::token_transfer unpackTokens(const json &Packed) {
  return {base::account_id(Packed.at(2).get<std::string>()),
          Packed.at(3).get<std::int64_t>()};
}

std::optional<base::time_point> unpackAskedAt(const json &Packed) {
  constexpr std::size_t Index = 4;
  if (Packed.size() <= Index)
    return std::nullopt;
  return base::fromMicroseconds(Packed.at(Index).get<std::int64_t>());
}

/// Returns the position that begins at \p Index; empty if nothing follows.
std::optional<groups::log_position> unpackPosition(const json &Packed,
                                                   std::size_t Index) {
  if (Packed.size() <= Index)
    return std::nullopt;
  return groups::log_position{Packed.at(Index).get<groups::term_number>(),
                              Packed.at(Index + 1).get<groups::log_offset>()};
}

commit_inquiry unpackInquiry(const json &Packed) {
  return {base::group_id(Packed.at(2).get<std::string>()),
          Packed.at(3).get<groups::term_number>(),
          Packed.at(4).get<std::uint64_t>()};
}

commit_report unpackCommits(const json &Packed) {
  constexpr std::size_t PositionIndex = 6;
  return {base::group_id(Packed.at(2).get<std::string>()),
          Packed.at(3).get<std::uint64_t>(),
          base::host_id(Packed.at(4).get<std::string>()),
          unpackAge(Packed.at(5)), unpackPosition(Packed, PositionIndex)};
}

proof_reply unpackReply(const json &Packed) {
  constexpr std::size_t PositionIndex = 7;
  constexpr std::size_t AgeIndex = 9;
  constexpr std::size_t ReplicatedIndex = 10;
  proof_reply Reply;
  Reply.Group = base::group_id(Packed.at(2).get<std::string>());
  Reply.AskedAt = base::fromMicroseconds(Packed.at(3).get<std::int64_t>());
  Reply.Primary = base::instance_id(Packed.at(4).get<std::string>());
  Reply.Term = Packed.at(5).get<groups::term_number>();
  Reply.Age = unpackAge(Packed.at(6));
  bool HasPosition = Packed.size() > AgeIndex;
  if (HasPosition) {
    Reply.Position = unpackPosition(Packed, PositionIndex);
    Reply.PositionAge = unpackAge(Packed.at(AgeIndex));
  }
  Reply.Replicated =
      unpackPosition(Packed, HasPosition ? ReplicatedIndex : PositionIndex);
  return Reply;
}

group_claim unpackClaim(const json &Packed) {
  constexpr std::size_t LeaderIndex = 4;
  constexpr std::size_t PositionIndex = 6;
  group_claim Claim{
      base::group_id(Packed.at(0).get<std::string>()),
      {Packed.at(1).get<groups::term_number>(), Packed.at(2).get<bool>()},
      Packed.at(3).get<groups::term_number>()};
  // Hosts of an earlier version name no leader.
  if (Packed.size() <= LeaderIndex)
    return Claim;
  Claim.View.Leader =
      base::instance_id(Packed.at(LeaderIndex).get<std::string>());
  Claim.View.LeaderTerm = Packed.at(LeaderIndex + 1).get<groups::term_number>();
  Claim.View.Replicated = unpackPosition(Packed, PositionIndex);
  return Claim;
}

claim_reply unpackClaims(const json &Packed) {
  constexpr std::size_t SizeWithoutRead = 3;
  constexpr std::size_t FirstClaim = 6;
  claim_reply Reply;
  Reply.AskedAt = base::fromMicroseconds(Packed.at(2).get<std::int64_t>());
  if (Packed.size() == SizeWithoutRead)
    return Reply;
  if (!Packed.at(3).is_number_integer())
    throw std::out_of_range("not a time");
  Reply.ReadDelay = base::duration(Packed.at(3).get<std::int64_t>());
  Reply.Range.From = base::group_id(Packed.at(4).get<std::string>());
  Reply.Range.To = base::group_id(Packed.at(5).get<std::string>());
  for (std::size_t Index = FirstClaim; Index < Packed.size(); ++Index) {
    Reply.Range.Claims.push_back(unpackClaim(Packed.at(Index)));
  }
  return Reply;
}

watch_report unpackReport(const json &Packed) {
  constexpr std::size_t FirstSource = 4;
  constexpr std::size_t DigestIndex = 3;
  watch_report Report;
  Report.HostsDigest = Packed.at(2).get<std::uint64_t>();
  Report.HostsAge = unpackAge(Packed.at(3));
  for (std::size_t Index = 0; Index < WatchedSources; ++Index) {
    const json &Source = Packed.at(FirstSource + Index);
    Report.Sources.at(Index) = {
        Source.at(0).get<bool>(), Source.at(1).get<std::uint64_t>(),
        unpackAge(Source.at(2)),
        Source.size() > DigestIndex
            ? Source.at(DigestIndex).get<std::uint64_t>()
            : 0};
  }
  return Report;
}

} // namespace

group_claim claim_range::of(const base::group_id &Group) const {
  for (const group_claim &Claim : Claims)
    if (Claim.Group == Group)
      return Claim;
  return {Group, {}, 0};
}

std::string encodeDatagram(const peer_datagram &Datagram) {
  std::vector<std::uint8_t> Packed =
      json::to_msgpack(std::visit(packer{Datagram.ReplyTo}, Datagram.Message));
  return {Packed.begin(), Packed.end()};
}

std::optional<peer_datagram> decodeDatagram(const std::string &Bytes) {
  constexpr bool Strict = true;
  constexpr bool ThrowErrors = false;
  json Packed = json::from_msgpack(Bytes, Strict, ThrowErrors);
  constexpr std::size_t MinSize = 2;
  if (!Packed.is_array() || Packed.size() < MinSize)
    return std::nullopt;
  try {
    std::string ReplyTo = Packed.at(1).get<std::string>();
    switch (Packed.at(0).get<int>()) {
    case TokenRequestKind:
      return peer_datagram{
          ReplyTo, token_request{unpackTokens(Packed), unpackAskedAt(Packed)}};
    case TokenGrantKind:
      return peer_datagram{
          ReplyTo, token_grant{unpackTokens(Packed), unpackAskedAt(Packed)}};
    case ProofRequestKind:
      return peer_datagram{
          ReplyTo,
          proof_request{
              base::group_id(Packed.at(2).get<std::string>()),
              base::fromMicroseconds(Packed.at(3).get<std::int64_t>())}};
    case ProofReplyKind:
      return peer_datagram{ReplyTo, unpackReply(Packed)};
    case VoteKind:
      return peer_datagram{ReplyTo, unpackVote(Packed)};
    case ReportKind:
      return peer_datagram{ReplyTo, unpackReport(Packed)};
    case ReportRequestKind:
      return peer_datagram{ReplyTo, report_request{}};
    case ClaimRequestKind:
      return peer_datagram{
          ReplyTo, claim_request{
                       base::fromMicroseconds(Packed.at(2).get<std::int64_t>()),
                       unpackAge(Packed.at(3))}};
    case ClaimReplyKind:
      return peer_datagram{ReplyTo, unpackClaims(Packed)};
    case ContactRequestKind:
      return peer_datagram{ReplyTo, contact_request{base::fromMicroseconds(
                                        Packed.at(2).get<std::int64_t>())}};
    case ContactReplyKind:
      return peer_datagram{ReplyTo, contact_reply{base::fromMicroseconds(
                                        Packed.at(2).get<std::int64_t>())}};
    case CommitInquiryKind:
      return peer_datagram{ReplyTo, unpackInquiry(Packed)};
    case CommitReportKind:
      return peer_datagram{ReplyTo, unpackCommits(Packed)};
    default:
      return std::nullopt;
    }
  } catch (const std::exception &) {
    return std::nullopt; // another protocol version, or not sent by a host
  }
}

} // namespace radishrelay::sessions::detail
