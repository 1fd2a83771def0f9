#include "radishrelay/daemon/relay.h"

#include <set>

namespace radishrelay::daemon {

namespace {

constexpr base::duration PeerCallTimeout = std::chrono::seconds(1);

std::string pack(datagram_kind Kind, const base::json &Content) {
  std::vector<std::uint8_t> Packed = base::json::to_msgpack(Content);
  std::string Message(1, static_cast<char>(Kind));
  Message.append(Packed.begin(), Packed.end());
  return Message;
}

} // namespace

base::time_point relay::clock() const { return Outputs.clock(); }

bool relay::submitLimitsRequest(std::uint64_t Id,
                                const base::store_request &Request) {
  return Outputs.submitToPlatform(
      {platform_channel::Limits, Id, Request, Now + Options.PlatformTimeout});
}

void relay::sendLimiterMessage(const base::host_id &To,
                               const accounts::limiter_message &Message) {
  std::optional<std::string> Address = Fleet.addressOf(To);
  if (!Address)
    return;
  base::json Content = base::json::object();
  Content["from"] = Options.Host.str();
  Content["message"] = accounts::toJson(Message);
  Outputs.sendDatagram(*Address, pack(datagram_kind::Limiter, Content));
}

void relay::sendMembershipPacket(const std::string &Address,
                                 const std::string &Packet) {
  std::string Message(1, static_cast<char>(datagram_kind::Membership));
  Outputs.sendDatagram(Address, Message + Packet);
}

bool relay::submitConfigurationRequest(std::uint64_t Id,
                                       const base::store_request &Request) {
  return Outputs.submitToPlatform({platform_channel::Configuration, Id, Request,
                                   Now + Options.PlatformTimeout});
}

void relay::callPeerAt(const std::string &Address, peer_method Method,
                       base::json &&Parameters, peer_result_handler &&Handler) {
  std::uint64_t Id = ++LastPeerCall;
  PeerCalls.emplace(Id, std::move(Handler));
  bool Sent = Outputs.callPeer(
      {Id, Address, Method, std::move(Parameters), Now + PeerCallTimeout});
  if (!Sent)
    on(peer_call_finished{
        Id, base::failure{std::make_error_code(std::errc::no_buffer_space),
                          "call " + std::string(methodName(Method)), Address,
                          "too many calls wait"}});
}

void relay::on(peer_call_finished &&Event) {
  if (auto Ended = Forwarder.finish(Event)) {
    finishTask(*Ended->Task, std::move(Ended->Answer));
    return;
  }
  if (auto Found = PeerCalls.extract(Event.Id))
    Found.mapped()(Event.Result);
}

void relay::on(peer_call_received &&Event) {
  if (Event.Method == peer_method::Forward) {
    acceptForwarded(Event);
    return;
  }
  base::json Result = base::json::object();
  if (Event.Method == peer_method::ConfigurationSince)
    Result = Fleet.answerConfigurationSince(Event.Parameters);
  else if (Event.Method == peer_method::ConfigurationStore)
    Result = Fleet.answerConfigurationStore(Event.Parameters, Now);
  Outputs.replyToPeer(Event.Reply, std::move(Result));
}

void relay::on(datagram_received &&Event) {
  if (Event.Message.empty())
    return;
  auto Kind = static_cast<datagram_kind>(Event.Message.front());
  std::string Body = Event.Message.substr(1);
  if (Kind == datagram_kind::Membership) {
    Fleet.onPacket(Body, Event.Sender, Now);
    return;
  }
  base::json Content = base::json::from_msgpack(Body, true, false);
  if (!Content.is_object())
    return;
  if (Kind == datagram_kind::Limiter && Content.contains("message")) {
    if (auto Message = accounts::parseLimiterMessage(Content["message"]))
      Limits.receive(base::host_id(Content.value("from", "")), *Message, Now);
  } else if (Kind == datagram_kind::Vote) {
    groups::promotion_vote Vote{
        base::group_id(Content.value("group", "")),
        Content.value("term", groups::term_number(0)),
        base::host_id(Content.value("host", "")),
        base::failure_domain_id(Content.value("failure_domain", ""))};
    auto Group = Groups.find(Vote.Group);
    if (Group != Groups.end())
      Group->second.Runtime->onVote(Vote, Now);
  }
}

void relay::onConfiguration(
    const std::shared_ptr<const fleet::configuration_index> &Index) {
  auto Document =
      std::make_shared<const fleet::configuration_document>(Index->document());
  auto Next = makeServiceView(Document);
  if (!Next) {
    Outputs.log(base::log_level::Error, "configuration not usable",
                base::logFields(Next.error()));
    return;
  }
  View = *Next;
  Limits.configure(*Document, Now);
  updateGroups(*Document);
  updateLeaving();
  onMembersChanged();
  Outputs.publishView(View);
  base::json Fields = base::json::object();
  Fields["version"] = Document->Version;
  Outputs.log(base::log_level::Info, "configuration adopted", Fields);
}

void relay::onMembersChanged() {
  std::vector<accounts::live_host> Live{{Options.Host, Options.FailureDomain}};
  groups::reachable_domains Reachable{{Options.FailureDomain}};
  for (const fleet::member_update &Member : Fleet.members().members()) {
    if (Member.Host == Options.Host ||
        Member.State != fleet::member_state::Live)
      continue;
    Live.push_back({Member.Host, Member.FailureDomain});
    if (Fleet.members().isDomainReachable(Member.FailureDomain, Now))
      Reachable.Domains.insert(Member.FailureDomain);
  }
  Limits.setLive(std::move(Live), Now);
  for (auto &[Id, Group] : Groups)
    Group.Runtime->onReachable(Reachable, Now);
}

void relay::logFleet(base::log_level Level, std::string_view Event,
                     const base::json &Fields) {
  Outputs.log(Level, Event, Fields);
}

} // namespace radishrelay::daemon
