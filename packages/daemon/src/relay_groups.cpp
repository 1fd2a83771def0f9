#include "radishrelay/daemon/relay.h"

#include <algorithm>

namespace radishrelay::daemon {

namespace {

/// Connections of a backend server that stay free for its operators.
constexpr std::int64_t ReservedConnections = 2;

} // namespace

std::uint32_t relay::quotaOf(const fleet::database_group &Group) const {
  if (!HeldSlot)
    return 0;
  std::int64_t SlotCount = View->Configuration.document().SlotCount;
  std::int64_t Quota = (Group.Connections - ReservedConnections) / SlotCount;
  return static_cast<std::uint32_t>(std::max<std::int64_t>(Quota, 0));
}

void relay::updateGroups(const fleet::configuration_document &Document) {
  std::vector<base::group_id> Removed;
  for (const auto &[Id, Entry] : Groups) {
    auto IsSame = [&Known =
                       Entry.Definition](const fleet::database_group &Group) {
      return Group == Known;
    };
    if (std::none_of(Document.Groups.begin(), Document.Groups.end(), IsSame))
      Removed.push_back(Id);
  }
  for (const base::group_id &Id : Removed)
    retire(Id);
  for (const fleet::database_group &Group : Document.Groups)
    if (!Groups.count(Group.Id))
      addGroup(Group);
  updateQuotas();
}

void relay::addGroup(const fleet::database_group &Group) {
  group_runtime_options Settings{Group,
                                 Options.Host,
                                 Options.FailureDomain,
                                 std::to_string(Options.Incarnation),
                                 quotaOf(Group),
                                 ++LastGroupSerial,
                                 Options.Seed + LastGroupSerial};
  auto Runtime = std::make_unique<group_runtime>(
      Settings, static_cast<group_outputs &>(*this));
  GroupsBySerial[LastGroupSerial] = Runtime.get();
  Runtime->useTransactions(Transactions);
  Groups[Group.Id] = {Group, LastGroupSerial, std::move(Runtime)};
}

void relay::retire(const base::group_id &Group) {
  auto Found = Groups.extract(Group);
  Found.mapped().Runtime->setQuota(0, Now);
  Retired.push_back(std::move(Found.mapped()));
}

void relay::removeRetired() {
  for (group_entry &Entry : Retired)
    Entry.Runtime->tick(Now);
  auto HasEnded = [this](const group_entry &Entry) {
    bool Ended = Entry.Runtime->taskCount() == 0 &&
                 Entry.Runtime->connectionCount() == 0;
    if (Ended)
      GroupsBySerial.erase(Entry.Serial);
    return Ended;
  };
  if (std::erase_if(Retired, HasEnded) > 0)
    updateQuotas();
}

void relay::updateQuotas() {
  HeldSlot = Limits.holdsSlot(Now);
  for (auto &[Id, Entry] : Groups) {
    // Connections of a retired definition of the group count against the same
    // limit, so the new definition gets none until they have ended.
    auto IsFormer = [&Id = Id](const group_entry &Former) {
      return Former.Definition.Id == Id;
    };
    bool HasFormer = std::any_of(Retired.begin(), Retired.end(), IsFormer);
    Entry.Runtime->setQuota(HasFormer ? 0 : quotaOf(Entry.Definition), Now);
  }
}

void relay::updateLeaving() {
  for (auto &[Id, Entry] : Groups)
    for (const fleet::backend_instance &Instance : Entry.Definition.Instances)
      Entry.Runtime->setLeaving(
          Instance.Id, Fleet.members().isServerLeaving(Instance.Address), Now);
}

bool relay::submitToBackend(backend::backend_command &&Command) {
  return Outputs.submitToBackend(std::move(Command));
}

void relay::submitToStore(group_runtime &Group,
                          const groups::store_call &Call) {
  std::uint64_t Id = ++LastStoreCall;
  StoreCalls.emplace(Id, std::pair(Group.serial(), Call.Id));
  Outputs.submitToPlatform(
      {platform_channel::Groups, Id, Call.Request, Call.Deadline});
}

void relay::sendVote(const groups::promotion_vote &Vote) {
  base::json Content = base::json::object();
  Content["group"] = Vote.Group.str();
  Content["term"] = Vote.Term;
  Content["host"] = Vote.Host.str();
  Content["failure_domain"] = Vote.FailureDomain.str();
  std::vector<std::uint8_t> Packed = base::json::to_msgpack(Content);
  std::string Message(1, static_cast<char>(datagram_kind::Vote));
  Message.append(Packed.begin(), Packed.end());
  for (const fleet::member_update &Member : Fleet.members().members())
    if (Member.Host != Options.Host)
      Outputs.sendDatagram(Member.Address, Message);
}

void relay::log(base::log_level Level, std::string_view Event,
                const base::json &Fields) {
  Outputs.log(Level, Event, Fields);
}

} // namespace radishrelay::daemon
