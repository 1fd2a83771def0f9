#include "radishrelay/daemon/fleet_runtime.h"

#include "radishrelay/fleet/witness_majority.h"

namespace radishrelay::daemon {

namespace {

constexpr base::duration TickInterval = std::chrono::milliseconds(50);

} // namespace

fleet_runtime::fleet_runtime(const fleet::member_update &Self,
                             std::uint64_t Seed,
                             const std::vector<std::string> &JoinAddresses,
                             base::time_point StartedAt, fleet_outputs &Outputs)
    : Outputs(Outputs), Self(Self.Host), Members(Self, Seed),
      Replica(Self.Host, StartedAt) {
  Members.setJoinAddresses(JoinAddresses);
}

void fleet_runtime::tick(base::time_point Now) {
  if (Now < NextTick)
    return;
  NextTick = Now + TickInterval;
  LatestNow = Now;
  Members.setConfiguration(Replica.freshness().answer(Now));
  apply(Members.tick(Now), Now);
  apply(Replica.tick(Now), Now);
  apply(Editor.tick(Now), Now);
}

void fleet_runtime::onPacket(const std::string &Packet,
                             const std::string &Sender, base::time_point Now) {
  LatestNow = Now;
  auto Message = fleet::decodeMessage(Packet);
  if (!Message)
    return;
  Members.setConfiguration(Replica.freshness().answer(Now));
  apply(Members.onMessage(*Message, Sender, Now), Now);
}

void fleet_runtime::onStore(std::uint64_t Id, const base::store_answer &Answer,
                            base::time_point Now) {
  LatestNow = Now;
  auto Found = StoreRequests.extract(Id);
  if (!Found)
    return;
  pending_store Pending = Found.mapped();
  if (Pending.Requester == store_requester::Replica)
    apply(Replica.onStoreAnswer(Pending.Id, Answer, Now), Now);
  else
    apply(Editor.onStoreAnswer(Pending.Id, Answer, Now), Now);
}

void fleet_runtime::onListedHosts(const std::vector<base::listed_host> &Hosts,
                                  base::time_point Now) {
  apply(Members.onListedHosts(Hosts, Now), Now);
  Outputs.onMembersChanged();
}

void fleet_runtime::submit(const fleet::configuration_submission &Submission,
                           base::time_point Deadline,
                           submission_handler Handler, base::time_point Now) {
  LatestNow = Now;
  Submissions[Submission.Id].push_back(std::move(Handler));
  apply(Editor.submit(Submission, Now, Deadline), Now);
}

void fleet_runtime::announce(fleet::member_state State, base::time_point Now) {
  apply(Members.announce(State, Now), Now);
}

base::json
fleet_runtime::answerConfigurationSince(const base::json &Parameters) const {
  auto From = Parameters.value("version", fleet::configuration_version(0));
  return fleet::formatDelta(Replica.deltaSince(From));
}

base::json fleet_runtime::answerConfigurationStore(const base::json &Parameters,
                                                   base::time_point Now) {
  if (Parameters.contains("document"))
    if (auto Document = fleet::parseConfiguration(Parameters["document"]))
      apply(Replica.onDocument(*Document), Now);
  base::json Result = base::json::object();
  Result["version"] = Replica.version();
  return Result;
}

std::optional<std::string>
fleet_runtime::addressOf(const base::host_id &Host) const {
  std::optional<fleet::member_update> Member = Members.find(Host);
  if (!Member)
    return std::nullopt;
  return Member->Address;
}

base::json fleet_runtime::dump(base::time_point Now) const {
  base::json Dump = base::json::object();
  Dump["membership"] = Members.dump();
  Dump["configuration"] = Replica.dump(Now);
  Dump["submissions"] = Editor.dump();
  return Dump;
}

void fleet_runtime::apply(const fleet::membership_actions &Actions,
                          base::time_point Now) {
  for (const fleet::membership_action &Action : Actions)
    std::visit([&](const auto &Content) { on(Content, Now); }, Action);
}

void fleet_runtime::apply(const fleet::replica_actions &Actions,
                          base::time_point Now) {
  for (const fleet::replica_action &Action : Actions)
    std::visit([&](const auto &Content) { on(Content, Now); }, Action);
}

void fleet_runtime::apply(const fleet::editor_actions &Actions,
                          base::time_point Now) {
  for (const fleet::editor_action &Action : Actions)
    std::visit([&](const auto &Content) { on(Content, Now); }, Action);
}

void fleet_runtime::on(const fleet::send_packet &Action, base::time_point) {
  Outputs.sendMembershipPacket(Action.Address,
                               fleet::encodeMessage(Action.Message));
}

void fleet_runtime::on(const fleet::member_changed &Action, base::time_point) {
  base::json Fields = base::json::object();
  Fields["member"] = Action.Member.Host.str();
  Fields["state"] = fleet::toString(Action.Member.State);
  Outputs.logFleet(base::log_level::Info, "member changed", Fields);
  updatePeers();
  Outputs.onMembersChanged();
}

void fleet_runtime::on(const fleet::peer_evidence &Action,
                       base::time_point Now) {
  apply(Replica.onDatedAnswer(Action.Host, Action.Answer, Action.AskedAt, Now),
        Now);
}

void fleet_runtime::on(const fleet::peer_version &Action,
                       base::time_point Now) {
  apply(Replica.onPeerVersion(Action.Host, Action.Version, Now), Now);
}

void fleet_runtime::on(const fleet::version_answered &Action,
                       base::time_point Now) {
  apply(Replica.onAnswer(Action.Host, Action.Sequence, Action.Answer, Now),
        Now);
}

void fleet_runtime::on(const fleet::fetch_configuration &Action,
                       base::time_point Now) {
  std::optional<std::string> Address = addressOf(Action.Peer);
  if (!Address) {
    apply(Replica.onFetchFailed(Action.Peer, Now), Now);
    return;
  }
  base::json Parameters = base::json::object();
  Parameters["version"] = Action.Since;
  Outputs.callPeerAt(
      *Address, peer_method::ConfigurationSince, std::move(Parameters),
      [this, Peer = Action.Peer](const base::expected<base::json> &Result) {
        if (Result)
          if (auto Delta = fleet::parseDelta(*Result)) {
            apply(Replica.onDelta(Peer, *Delta, LatestNow), LatestNow);
            return;
          }
        apply(Replica.onFetchFailed(Peer, LatestNow), LatestNow);
      });
}

void fleet_runtime::on(const fleet::read_store &Action, base::time_point Now) {
  submitStoreRequest(store_requester::Replica, Action.Id, Action.Request, Now);
}

void fleet_runtime::on(const fleet::configuration_adopted &Action,
                       base::time_point) {
  Members.setWitnesses(fleet::allWitnesses(Action.Index->document()));
  Outputs.onConfiguration(Action.Index);
}

void fleet_runtime::on(const fleet::configuration_diverged &Action,
                       base::time_point) {
  base::json Fields = base::json::object();
  Fields["peer"] = Action.Peer.str();
  Fields["version"] = Action.Version;
  Outputs.logFleet(base::log_level::Error, "configuration diverged", Fields);
}

void fleet_runtime::on(const fleet::request_version &Action,
                       base::time_point Now) {
  apply(Members.requestVersion(Action.Host, Action.Sequence), Now);
}

void fleet_runtime::on(const fleet::send_store_request &Action,
                       base::time_point Now) {
  submitStoreRequest(store_requester::Editor, Action.Id, Action.Request, Now);
}

void fleet_runtime::on(const fleet::store_at_witness &Action,
                       base::time_point Now) {
  if (Action.Host == Self) {
    apply(Replica.onDocument(*Action.Document), Now);
    apply(Editor.onWitnessAnswer(Action.Sequence, Replica.version(), Now), Now);
    return;
  }
  std::optional<std::string> Address = addressOf(Action.Host);
  if (!Address)
    return;
  base::json Parameters = base::json::object();
  Parameters["document"] = fleet::formatConfiguration(*Action.Document);
  Outputs.callPeerAt(
      *Address, peer_method::ConfigurationStore, std::move(Parameters),
      [this,
       Sequence = Action.Sequence](const base::expected<base::json> &Result) {
        if (!Result || !Result->contains("version"))
          return;
        auto WitnessVersion =
            (*Result)["version"].get<fleet::configuration_version>();
        apply(Editor.onWitnessAnswer(Sequence, WitnessVersion, LatestNow),
              LatestNow);
      });
}

void fleet_runtime::on(const fleet::offer_to_replica &Action,
                       base::time_point Now) {
  apply(Replica.onDocument(*Action.Document), Now);
}

void fleet_runtime::on(const fleet::submission_finished &Action,
                       base::time_point) {
  auto Found = Submissions.extract(Action.Id);
  if (!Found)
    return;
  for (const submission_handler &Handler : Found.mapped())
    Handler(Action.Result);
}

void fleet_runtime::submitStoreRequest(store_requester Requester,
                                       std::uint64_t Id,
                                       const base::store_request &Request,
                                       base::time_point Now) {
  std::uint64_t Number = ++LastStoreRequest;
  StoreRequests.emplace(Number, pending_store{Requester, Id});
  if (Outputs.submitConfigurationRequest(Number, Request))
    return;
  base::store_answer NotSent;
  NotSent.Outcome = base::store_outcome::NotDone;
  NotSent.SentAt = Now;
  onStore(Number, NotSent, Now);
}

void fleet_runtime::updatePeers() {
  std::vector<base::host_id> Hosts;
  for (const fleet::member_update &Member : Members.members())
    if (Member.Host != Self)
      Hosts.push_back(Member.Host);
  Replica.setPeers(std::move(Hosts));
}

} // namespace radishrelay::daemon
