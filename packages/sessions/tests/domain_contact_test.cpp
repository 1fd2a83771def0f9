#include "support/fake_fleet.h"

#include "radishrelay/sessions/detail/peer_message.h"

#include <boost/test/unit_test.hpp>

namespace radishrelay::sessions::tests {

namespace {

using namespace detail;

/// A host in the failure domain of the primary, with h2 and h3 in other ones.
struct fixture : fake_fleet {
  fixture() {
    for (const char *Name : {"h2", "h3"})
      Rows[{"members", Name}] = {{"members", Name},
                                 900,
                                 {{"domain", std::string("x-") + Name},
                                  {"address", std::string(Name) + ":1"}}};
    listings().at(base::instance_id("p")).Domain = base::failure_domain_id("b");
    publishListings();
    advanceTime(9000ms); // until the members table is read again
    session_number Reader = connect("primary");
    ask(Reader, "read x");
    Datagrams.clear();
    Session = connect("primary");
  }

  std::vector<std::pair<std::string, contact_request>> requests() const {
    std::vector<std::pair<std::string, contact_request>> Result;
    for (const auto &[Address, Bytes] : Datagrams) {
      auto Datagram = decodeDatagram(Bytes);
      if (const auto *Found = std::get_if<contact_request>(&Datagram->Message))
        Result.emplace_back(Address, *Found);
    }
    return Result;
  }

  void replyTo(const contact_request &Request) {
    engine().datagramReceived(
        encodeDatagram({"h2:1", contact_reply{Request.SentAt}}), now());
    advanceTime(1ms);
  }

  /// Lets the primary acknowledge a commit under the lease.
  void commit() {
    send(Session, "write x 1");
    runHeld();
  }

  session_number Session{};
};

} // namespace

// Guards against commits that are lost with a failure domain which is cut off:
// an instance that has started inside it confirms them (review/6).
BOOST_AUTO_TEST_SUITE(a_commit_in_the_failure_domain_of_the_primary)

BOOST_FIXTURE_TEST_CASE(is_answered_once_a_host_outside_is_reached, fixture) {
  commit();
  BOOST_TEST(answers(Session).empty());
  BOOST_REQUIRE(requests().size() == 2U);
  replyTo(requests()[0].second);
  std::vector<client_answer> Answers = answers(Session);
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST(!Answers[0].Error.has_value());
}

BOOST_FIXTURE_TEST_CASE(is_not_answered_by_an_earlier_contact, fixture) {
  commit();
  contact_request Earlier = requests()[0].second;
  replyTo(Earlier);
  answers(Session);
  advanceTime(20ms);
  commit();
  replyTo(Earlier);
  BOOST_TEST(answers(Session).empty());
}

BOOST_FIXTURE_TEST_CASE(is_not_answered_by_a_contact_in_the_future, fixture) {
  commit();
  replyTo({now() + 1s});
  BOOST_TEST(answers(Session).empty());
}

// Guards against commits in doubt while all hosts outside are down.
BOOST_FIXTURE_TEST_CASE(is_answered_once_a_replica_has_shown_it, fixture) {
  for (const char *Name : {"r1", "r2"})
    instance(Name).Log = {1, 1000};
  commit();
  advanceTime(400ms);
  std::vector<client_answer> Answers = answers(Session);
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST(!Answers[0].Error.has_value());
}

BOOST_FIXTURE_TEST_CASE(stays_in_doubt_without_both, fixture) {
  for (const char *Name : {"r1", "r2"})
    instance(Name).IsUnresponsive = true;
  commit();
  advanceTime(3000ms);
  std::vector<client_answer> Answers = answers(Session);
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((Answers[0].Error == refusal::InDoubt));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(a_host_that_is_asked_for_a_contact_replies, fixture) {
  base::time_point SentAt = base::fromMicroseconds(77);
  engine().datagramReceived(encodeDatagram({"h3:1", contact_request{SentAt}}),
                            now());
  BOOST_REQUIRE(!Datagrams.empty());
  BOOST_TEST(Datagrams.back().first == "h3:1");
  auto Reply = decodeDatagram(Datagrams.back().second);
  BOOST_TEST((std::get<contact_reply>(Reply->Message).AskedAt == SentAt));
}

} // namespace radishrelay::sessions::tests
