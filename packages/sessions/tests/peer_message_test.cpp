#include "radishrelay/sessions/detail/peer_message.h"

#include "radishrelay/base/json.h"

#include <boost/test/unit_test.hpp>

namespace radishrelay::sessions::detail::tests {

namespace {

using base::json;

std::optional<peer_datagram> decode(const json &Document) {
  std::vector<std::uint8_t> Packed = json::to_msgpack(Document);
  return decodeDatagram({Packed.begin(), Packed.end()});
}

/// A report of a watcher whose ages are \p HostsAge and \p SourceAge.
json report(const json &HostsAge, const json &SourceAge) {
  constexpr int ReportKind = 6;
  json Result = json::array({ReportKind, "10.0.0.1:7561", 1, HostsAge});
  for (std::size_t Index = 0; Index < WatchedSources; ++Index)
    Result.push_back(json::array({true, 7, SourceAge}));
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_datagram_of_another_program)

BOOST_AUTO_TEST_CASE(is_read_if_its_ages_are_whole_numbers) {
  BOOST_TEST(decode(report(5, 6)).has_value());
}

// Guards against evidence from the future, which nothing outdates: the host
// would not read the members again.
BOOST_AUTO_TEST_CASE(is_ignored_if_an_age_is_out_of_range) {
  for (const json &Age : {json(-1), json(1e300), json(1.5), json("5"),
                          json(nullptr), json(UINT64_MAX)}) {
    BOOST_TEST(!decode(report(Age, 6)).has_value());
    BOOST_TEST(!decode(report(5, Age)).has_value());
  }
}

BOOST_AUTO_TEST_CASE(is_ignored_if_it_is_nested_very_deeply) {
  constexpr std::size_t DatagramBytes = 1400;
  // In MessagePack, the byte 0x91 opens an array of one element.
  BOOST_TEST(!decodeDatagram(std::string(DatagramBytes, '\x91')).has_value());
  BOOST_TEST(
      !decodeDatagram(std::string(DatagramBytes, '\x91') + '\0').has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_datagram_of_a_host)

// Guards against hosts of the version before that reject what they do not know,
// and against fields that get lost.
BOOST_AUTO_TEST_CASE(carries_the_digest_of_a_source_only_if_there_is_one) {
  watch_report Report;
  Report.Sources[0] = {true, 7, base::duration(5), 99};
  Report.Sources[1] = {true, 8, base::duration(6)};
  std::string Bytes = encodeDatagram({"10.0.0.1:1", Report});
  json Packed = json::from_msgpack(Bytes);
  BOOST_TEST(Packed.at(4).size() == 4U);
  BOOST_TEST(Packed.at(5).size() == 3U);
  BOOST_TEST(
      (std::get<watch_report>(decodeDatagram(Bytes)->Message) == Report));
}

// Guards against a position that is taken for another one: a proof carries
// none, either or both of two.
BOOST_AUTO_TEST_CASE(carries_the_positions_of_a_proof_that_are_known) {
  for (bool HasPosition : {false, true})
    for (bool IsReplicated : {false, true}) {
      proof_reply Reply;
      Reply.Group = base::group_id("g");
      Reply.Primary = base::instance_id("p");
      if (HasPosition) {
        Reply.Position = {2, 11};
        Reply.PositionAge = base::duration(7);
      }
      if (IsReplicated)
        Reply.Replicated = {2, 9};
      std::string Bytes = encodeDatagram({"10.0.0.1:1", Reply});
      BOOST_TEST(
          (std::get<proof_reply>(decodeDatagram(Bytes)->Message) == Reply));
    }
}

BOOST_AUTO_TEST_CASE(carries_a_contact) {
  contact_request Request{base::fromMicroseconds(77)};
  contact_reply Reply{base::fromMicroseconds(77)};
  std::string Bytes = encodeDatagram({"10.0.0.1:1", Request});
  BOOST_TEST(
      (std::get<contact_request>(decodeDatagram(Bytes)->Message) == Request));
  Bytes = encodeDatagram({"10.0.0.1:1", Reply});
  BOOST_TEST(
      (std::get<contact_reply>(decodeDatagram(Bytes)->Message) == Reply));
}

BOOST_AUTO_TEST_CASE(carries_an_inquiry_about_commits_and_its_report) {
  commit_inquiry Inquiry{base::group_id("g"), 3, 1'234'567'890};
  commit_report Report{base::group_id("g"), 1'234'567'890, base::host_id("h"),
                       base::duration(42)};
  std::string Bytes = encodeDatagram({"10.0.0.1:1", Inquiry});
  BOOST_TEST(
      (std::get<commit_inquiry>(decodeDatagram(Bytes)->Message) == Inquiry));
  Bytes = encodeDatagram({"10.0.0.1:1", Report});
  BOOST_TEST(
      (std::get<commit_report>(decodeDatagram(Bytes)->Message) == Report));
  Report.Acknowledged = {3, 17};
  Bytes = encodeDatagram({"10.0.0.1:1", Report});
  BOOST_TEST(
      (std::get<commit_report>(decodeDatagram(Bytes)->Message) == Report));
}

BOOST_AUTO_TEST_CASE(carries_the_primary_and_the_log_of_a_claim) {
  group_claim Claim{base::group_id("g"), {3, true}, 2};
  claim_reply Reply{base::fromMicroseconds(5), base::duration(6), {}};
  Reply.Range.Claims = {Claim};
  Claim.View.Leader = base::instance_id("p");
  Claim.View.LeaderTerm = 2;
  Reply.Range.Claims.push_back(Claim);
  Claim.View.Replicated = {2, 17};
  Reply.Range.Claims.push_back(Claim);
  std::string Bytes = encodeDatagram({"10.0.0.1:1", Reply});
  BOOST_TEST((std::get<claim_reply>(decodeDatagram(Bytes)->Message) == Reply));
}

BOOST_AUTO_TEST_CASE(names_the_request_of_a_loan) {
  token_grant Grant{{base::account_id("a"), 3}, base::fromMicroseconds(12345)};
  std::string Bytes = encodeDatagram({"10.0.0.1:1", Grant});
  BOOST_TEST((std::get<token_grant>(decodeDatagram(Bytes)->Message) == Grant));
  constexpr int GrantKind = 2;
  auto Earlier = decode(json::array({GrantKind, "10.0.0.1:1", "a", 3}));
  BOOST_REQUIRE(Earlier.has_value());
  BOOST_TEST(!std::get<token_grant>(Earlier->Message).AskedAt.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace radishrelay::sessions::detail::tests
