#include "radishrelay/sessions/detail/peer_message.h"
#include "support/fake_fleet.h"

#include <boost/test/unit_test.hpp>

namespace radishrelay::sessions::tests {

namespace {

using detail::claim_reply;
using detail::claim_request;
using detail::decodeDatagram;
using detail::encodeDatagram;

/// A fleet with h1, whose engine is tested, and \p Others in its failure
/// domain, whose leases have run out.
struct claim_fleet : fake_fleet {
  explicit claim_fleet(int Others) {
    for (int Index = 2; Index < 2 + Others; ++Index) {
      std::string Name = "h" + std::to_string(Index);
      Rows[{"members", Name}] = {{"members", Name},
                                 1000U + static_cast<unsigned>(Index),
                                 {{"domain", "b"}, {"address", Name + ":1"}}};
    }
    advanceTime(14000ms); // until the members table is read again
    Datagrams.clear();
    ClaimReads = 0;
  }

  /// Sends a request for the claims in the name of \p Host.
  void request(const std::string &Host, base::duration MaxAge) {
    engine().datagramReceived(
        encodeDatagram({Host + ":1", claim_request{now(), MaxAge}}), now());
    advanceTime(1ms);
  }

  /// Messages of the type \p Payload that h1 has sent since the last call, with
  /// the addresses that they were sent to.
  template <typename Payload>
  std::vector<std::pair<std::string, Payload>> sent() {
    std::vector<std::pair<std::string, Payload>> Result;
    for (const auto &[Address, Bytes] : std::exchange(Datagrams, {}))
      if (auto Datagram = decodeDatagram(Bytes))
        if (const auto *Message = std::get_if<Payload>(&Datagram->Message))
          Result.emplace_back(Address, *Message);
    return Result;
  }

  /// Lets a client write until h1 has asked another host for the claims.
  std::pair<std::string, claim_request> firstRequest() {
    for (int Round = 0; Round < 100; ++Round) {
      runHeld();
      advanceTime(5ms);
      auto Requests = sent<claim_request>();
      if (!Requests.empty())
        return Requests.front();
    }
    BOOST_FAIL("the claims were not asked for");
    return {};
  }

  void deliver(const std::pair<std::string, claim_request> &Asked,
               const claim_reply &Reply) {
    engine().datagramReceived(encodeDatagram({Asked.first, Reply}), now());
    advanceTime(1ms);
  }

  /// Whether the client of \p Session was told that its write succeeded.
  bool hasWritten(session_number Session) {
    std::vector<client_answer> Got = answers(Session);
    return !Got.empty() && !Got.front().Error.has_value();
  }
};

claim_reply replyTo(const claim_request &Request, base::duration ReadDelay) {
  return {Request.SentAt, ReadDelay, {}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_claims_of_a_domain)

BOOST_AUTO_TEST_SUITE(are_read_for_other_hosts)

// Guards against a read for each host and commit.
BOOST_AUTO_TEST_CASE(once_while_the_read_is_young_enough) {
  claim_fleet Fleet(4);
  for (const char *Host : {"h2", "h3", "h4"})
    Fleet.request(Host, 350ms);
  BOOST_TEST(Fleet.ClaimReads == 1U);
  BOOST_TEST(Fleet.sent<claim_reply>().size() == 3U);
  Fleet.request("h2", 0ms);
  Fleet.advanceTime(60ms);
  BOOST_TEST(Fleet.ClaimReads == 2U);
}

// Guards against claims that are cut off at the end of a datagram.
BOOST_AUTO_TEST_CASE(in_parts_that_fit_into_datagrams) {
  claim_fleet Fleet(4);
  constexpr std::size_t DatagramBytes = 1400;
  for (int Index = 100; Index < 220; ++Index) {
    std::string Name = "a-group-with-a-long-name-" + std::to_string(Index);
    Fleet.Rows[{"promotions", Name}] = {
        {"promotions", Name}, 5000, {{"term", 2}, {"done", true}}};
  }
  Fleet.request("h2", 350ms);
  auto Replies = Fleet.sent<claim_reply>();
  BOOST_REQUIRE(Replies.size() > 1U);
  std::size_t Count = 0;
  base::group_id From;
  for (const auto &[Address, Reply] : Replies) {
    BOOST_TEST(encodeDatagram({"h1:1", Reply}).size() <= DatagramBytes);
    BOOST_TEST((Reply.Range.From == From));
    From = Reply.Range.To;
    Count += Reply.Range.Claims.size();
  }
  BOOST_TEST(From.empty());
  BOOST_TEST(Count == 120U);
}

// Guards against a reader that a domain waits for although its store calls
// fail.
BOOST_AUTO_TEST_CASE(unless_the_store_does_not_answer) {
  claim_fleet Fleet(4);
  Fleet.IsStoreDown = true;
  Fleet.request("h2", 350ms);
  auto Replies = Fleet.sent<claim_reply>();
  BOOST_REQUIRE(Replies.size() == 1U);
  BOOST_TEST(!Replies.front().second.ReadDelay.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(are_asked_for_when_a_commit_has_no_lease)

struct fixture : claim_fleet {
  fixture() : claim_fleet(60) {
    Session = connect("primary");
    send(Session, "write x 1");
    Asked = firstRequest();
  }

  session_number Session{};
  std::pair<std::string, claim_request> Asked;
};

BOOST_FIXTURE_TEST_CASE(and_answer_it, fixture) {
  BOOST_TEST(ClaimReads == 0U);
  deliver(Asked, replyTo(Asked.second, 0ms));
  BOOST_TEST(hasWritten(Session));
}

// Guards against a lease on a replaced primary by a read before its promotion.
BOOST_FIXTURE_TEST_CASE(and_not_if_they_were_read_too_early, fixture) {
  deliver(Asked, replyTo(Asked.second, -5000ms));
  BOOST_TEST(answers(Session).empty());
}

BOOST_FIXTURE_TEST_CASE(and_not_if_they_seem_to_be_read_in_the_future,
                        fixture) {
  deliver(Asked, replyTo(Asked.second, 5000ms));
  BOOST_TEST(answers(Session).empty());
}

// Guards against a delayed reply that is dated by a request of another time.
BOOST_FIXTURE_TEST_CASE(and_not_by_a_reply_to_no_request, fixture) {
  claim_reply Reply = replyTo(Asked.second, 0ms);
  Reply.AskedAt += 1ms;
  deliver(Asked, Reply);
  BOOST_TEST(answers(Session).empty());
}

BOOST_FIXTURE_TEST_CASE(of_the_next_reader_if_the_first_one_is_silent,
                        fixture) {
  advanceTime(130ms);
  auto Next = sent<claim_request>();
  BOOST_REQUIRE(!Next.empty());
  BOOST_TEST(Next.front().first != Asked.first);
  deliver(Next.front(), replyTo(Next.front().second, 0ms));
  BOOST_TEST(hasWritten(Session));
}

BOOST_FIXTURE_TEST_CASE(of_the_next_reader_at_once_if_the_store_refuses_one,
                        fixture) {
  deliver(Asked, {Asked.second.SentAt, std::nullopt, {}});
  auto Next = sent<claim_request>();
  BOOST_REQUIRE(!Next.empty());
  BOOST_TEST(Next.front().first != Asked.first);
}

// Guards against commits in doubt on a host that reaches no other host.
BOOST_FIXTURE_TEST_CASE(and_read_here_if_no_reader_answers, fixture) {
  advanceTime(600ms);
  BOOST_TEST(ClaimReads == 1U);
  BOOST_TEST(hasWritten(Session));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace radishrelay::sessions::tests
