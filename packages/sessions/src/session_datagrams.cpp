// Handling of datagrams from other hosts.
#include "radishrelay/sessions/session_engine.h"

namespace radishrelay::sessions {

void session_engine::datagramReceived(const std::string &Bytes,
                                      base::time_point Now) {
  std::optional<detail::peer_datagram> Datagram = detail::decodeDatagram(Bytes);
  if (!Datagram) {
    if (Log.wantsDecision(true))
      Log.decision("datagram not readable", {{"bytes", Bytes.size()}});
    return;
  }
  if (const auto *TokenRequest =
          std::get_if<detail::token_request>(&Datagram->Message)) {
    Limits.receive(*TokenRequest, Datagram->ReplyTo, Now);
  } else if (const auto *TokenGrant =
                 std::get_if<detail::token_grant>(&Datagram->Message)) {
    Limits.receive(*TokenGrant, Datagram->ReplyTo, Now);
  } else if (const auto *ProofRequest =
                 std::get_if<detail::proof_request>(&Datagram->Message)) {
    supervisor *Group = groupOf(ProofRequest->Group);
    if (Group)
      Group->receive(*ProofRequest, Datagram->ReplyTo, Now);
  } else if (const auto *Vote =
                 std::get_if<detail::promotion_vote>(&Datagram->Message)) {
    if (supervisor *Group = groupOf(Vote->Group))
      Group->receive(*Vote, Now);
  } else if (const auto *Report =
                 std::get_if<detail::watch_report>(&Datagram->Message)) {
    Watch.receive(*Report, Now);
    Members.receive(*Report, Now);
    if (!Catalog)
      Starting.replied(Datagram->ReplyTo,
                       detail::catalogVersion(*Report).value_or(0));
  } else if (const auto *ContactRequest =
                 std::get_if<detail::contact_request>(&Datagram->Message)) {
    Members.send(detail::contact_reply{ContactRequest->SentAt},
                 Datagram->ReplyTo);
  } else if (const auto *ContactReply =
                 std::get_if<detail::contact_reply>(&Datagram->Message)) {
    Contact.receive(*ContactReply, Now);
    ShouldServeWaiting = true;
  } else if (const auto *Inquiry =
                 std::get_if<detail::commit_inquiry>(&Datagram->Message)) {
    if (supervisor *Group = groupOf(Inquiry->Group))
      Group->receive(*Inquiry, Datagram->ReplyTo, Now);
  } else if (const auto *Commits =
                 std::get_if<detail::commit_report>(&Datagram->Message)) {
    if (supervisor *Group = groupOf(Commits->Group))
      Group->receive(*Commits, Now);
  } else if (const auto *ClaimRequest =
                 std::get_if<detail::claim_request>(&Datagram->Message)) {
    Claims.receive(*ClaimRequest, Datagram->ReplyTo, Now);
  } else if (const auto *ClaimReply =
                 std::get_if<detail::claim_reply>(&Datagram->Message)) {
    Claims.receive(*ClaimReply, Datagram->ReplyTo, Now);
  } else if (std::holds_alternative<detail::report_request>(
                 Datagram->Message)) {
    Members.sendReport(Watch.report(Now), Datagram->ReplyTo, Now);
  } else {
    const auto &ProofReply = std::get<detail::proof_reply>(Datagram->Message);
    supervisor *Group = groupOf(ProofReply.Group);
    if (Group && Group->receive(ProofReply, Now))
      ShouldServeWaiting = true;
  }
}

} // namespace radishrelay::sessions
