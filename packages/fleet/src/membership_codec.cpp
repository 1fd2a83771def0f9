#include "radishrelay/base/json.h"
#include "radishrelay/fleet/membership_message.h"

#include <stdexcept>

namespace radishrelay::fleet {

using base::json;

namespace {

// Structures are encoded as arrays without field names, which halves the size
// of a packet.

json formatAnswer(const evidence_answer &Answer) {
  json Age;
  if (Answer.EvidenceAge)
    Age = Answer.EvidenceAge->count();
  return json::array({Answer.Version, Answer.Digest, Answer.Confirmed, Age});
}

evidence_answer parseAnswer(const json &Value) {
  evidence_answer Answer;
  Answer.Version = Value.at(0).get<configuration_version>();
  Answer.Digest = Value.at(1).get<std::uint64_t>();
  Answer.Confirmed = Value.at(2).get<bool>();
  if (!Value.at(3).is_null())
    Answer.EvidenceAge = base::duration(Value.at(3).get<std::int64_t>());
  return Answer;
}

json formatUpdates(const std::vector<member_update> &Updates) {
  json Items = json::array();
  for (const member_update &Update : Updates)
    Items.push_back(json::array({Update.Host.str(), Update.FailureDomain.str(),
                                 Update.Address, Update.Incarnation,
                                 static_cast<int>(Update.State)}));
  return Items;
}

member_state parseState(const json &Value) {
  int State = Value.get<int>();
  if (State < 0 || State > static_cast<int>(member_state::Gone))
    throw std::out_of_range("unknown member state");
  return static_cast<member_state>(State);
}

std::vector<member_update> parseUpdates(const json &Value) {
  std::vector<member_update> Updates;
  for (const json &Item : Value)
    Updates.push_back({base::host_id(Item.at(0).get<std::string>()),
                       base::failure_domain_id(Item.at(1).get<std::string>()),
                       Item.at(2).get<std::string>(),
                       Item.at(3).get<std::uint64_t>(),
                       parseState(Item.at(4))});
  return Updates;
}

struct body_writer {
  json operator()(const ping_message &Body) const {
    return json::array({Body.Sequence, Body.KnownMembers,
                        formatAnswer(Body.Configuration),
                        formatUpdates(Body.Updates)});
  }
  json operator()(const ack_message &Body) const {
    return json::array({Body.Sequence, Body.Subject.str(),
                        formatAnswer(Body.Configuration),
                        formatUpdates(Body.Updates)});
  }
  json operator()(const probe_message &Body) const {
    return json::array({Body.Sequence, Body.Target.str(), Body.TargetAddress});
  }
  json operator()(const summary_message &Body) const {
    return json::array({Body.FailureDomain.str(),
                        formatAnswer(Body.Configuration),
                        formatUpdates(Body.Updates)});
  }
  json operator()(const version_query &Body) const {
    return json::array({Body.Sequence});
  }
  json operator()(const version_reply &Body) const {
    return json::array({Body.Sequence, formatAnswer(Body.Configuration)});
  }
};

membership_body parsePing(const json &Value) {
  return ping_message{Value.at(0).get<std::uint64_t>(),
                      Value.at(1).get<std::uint64_t>(),
                      parseAnswer(Value.at(2)), parseUpdates(Value.at(3))};
}

membership_body parseAck(const json &Value) {
  return ack_message{Value.at(0).get<std::uint64_t>(),
                     base::host_id(Value.at(1).get<std::string>()),
                     parseAnswer(Value.at(2)), parseUpdates(Value.at(3))};
}

membership_body parseProbe(const json &Value) {
  return probe_message{Value.at(0).get<std::uint64_t>(),
                       base::host_id(Value.at(1).get<std::string>()),
                       Value.at(2).get<std::string>()};
}

membership_body parseSummary(const json &Value) {
  return summary_message{
      base::failure_domain_id(Value.at(0).get<std::string>()),
      parseAnswer(Value.at(1)), parseUpdates(Value.at(2))};
}

membership_body parseQuery(const json &Value) {
  return version_query{Value.at(0).get<std::uint64_t>()};
}

membership_body parseReply(const json &Value) {
  return version_reply{Value.at(0).get<std::uint64_t>(),
                       parseAnswer(Value.at(1))};
}

// Indexed by the alternative of membership_body.
constexpr membership_body (*Parsers[])(const json &) = {
    parsePing, parseAck, parseProbe, parseSummary, parseQuery, parseReply};

static_assert(std::size(Parsers) == std::variant_size_v<membership_body>);

base::failure decodeFailure(const std::string &Detail) {
  return {std::make_error_code(std::errc::bad_message), "decode heartbeat", "",
          Detail};
}

} // namespace

std::string encodeMessage(const membership_message &Message) {
  json Value = json::array({Message.Body.index(), Message.Sender.str(),
                            Message.Incarnation,
                            std::visit(body_writer(), Message.Body)});
  std::string Packet;
  json::to_msgpack(Value, Packet);
  return Packet;
}

base::expected<membership_message> decodeMessage(const std::string &Packet) {
  try {
    json Value = json::from_msgpack(Packet);
    auto Index = Value.at(0).get<std::size_t>();
    if (Index >= std::size(Parsers))
      return decodeFailure("unknown message kind " + std::to_string(Index));
    return membership_message{base::host_id(Value.at(1).get<std::string>()),
                              Value.at(2).get<std::uint64_t>(),
                              Parsers[Index](Value.at(3))};
  } catch (const json::exception &Error) {
    return decodeFailure(Error.what());
  } catch (const std::out_of_range &Error) {
    return decodeFailure(Error.what());
  }
}

} // namespace radishrelay::fleet
