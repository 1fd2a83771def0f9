#include "configuration_fixture.h"

#include "radishrelay/fleet/freshness_evidence.h"
#include "radishrelay/fleet/witness_majority.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay;
using namespace radishrelay::fleet;
using namespace radishrelay::fleet::testing;
using namespace std::chrono_literals;

constexpr std::uint64_t Digest = 77;

struct fixture {
  base::time_point Start = base::fromMicroseconds(5'000'000);
  base::host_id First{"host-1"};
  base::host_id Second{"host-2"};
  base::host_id Third{"host-3"};
  freshness_evidence Evidence{base::host_id("host-9"), Start};

  fixture() { adopt(exampleDocument()); }
  void adopt(const configuration_document &Document) {
    Evidence.onAdopted(std::make_shared<const configuration_document>(Document),
                       Digest);
  }
  void recordAnswer(const base::host_id &Host, base::time_point AskedAt,
                    configuration_version Version = 7, bool Confirmed = true) {
    Evidence.onDatedAnswer(Host, {Version, Digest, Confirmed, std::nullopt},
                           AskedAt);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(freshness, fixture)

BOOST_AUTO_TEST_SUITE(a_majority_of_the_witnesses)

BOOST_AUTO_TEST_CASE(proves_freshness_for_three_seconds) {
  recordAnswer(First, Start);
  BOOST_TEST(!Evidence.isFresh(Start));
  recordAnswer(Second, Start + 1s);
  BOOST_TEST(Evidence.isFresh(Start + 3s));
  BOOST_TEST(!Evidence.isFresh(Start + 3s + 1us));
}

// Guards against evidence that is dated by the arrival of the answer.
BOOST_AUTO_TEST_CASE(is_dated_by_the_time_the_query_was_sent) {
  auto Queries = Evidence.tick(Start);
  BOOST_REQUIRE_EQUAL(Queries.size(), 3U);
  for (const request_version &Query : Queries)
    Evidence.onAnswer(Query.Host, Query.Sequence,
                      {7, Digest, true, std::nullopt});
  BOOST_TEST((*Evidence.freshUntil() == Start + 3s));
}

// Guards against counting an answer that belongs to another query or to none.
BOOST_AUTO_TEST_CASE(ignores_answers_to_unknown_queries) {
  auto Queries = Evidence.tick(Start);
  Evidence.onAnswer(First, Queries[1].Sequence, {7, Digest, true, 0us});
  Evidence.onAnswer(Second, 999, {7, Digest, true, 0us});
  BOOST_TEST(!Evidence.freshUntil().has_value());
}

BOOST_AUTO_TEST_CASE(does_not_count_for_a_version_not_yet_adopted) {
  recordAnswer(First, Start, 8);
  recordAnswer(Second, Start, 8);
  BOOST_TEST(!Evidence.isFresh(Start));
  auto Next = exampleDocument();
  Next.Version = 8;
  adopt(Next);
  BOOST_TEST(Evidence.isFresh(Start));
}

// Guards against counting a restarted witness that lost the configuration it
// acknowledged.
BOOST_AUTO_TEST_CASE(does_not_count_an_unconfirmed_host) {
  recordAnswer(First, Start);
  recordAnswer(Second, Start, 7, false);
  BOOST_TEST(!Evidence.isFresh(Start));
}

// Guards against two different documents with the same version that confirm
// each other.
BOOST_AUTO_TEST_CASE(does_not_count_another_document_of_the_same_version) {
  recordAnswer(First, Start);
  Evidence.onDatedAnswer(Second, {7, Digest + 1, true, 0us}, Start);
  BOOST_TEST(!Evidence.isFresh(Start));
}

// Guards against missing a key withdrawal that only the old or only the new
// witnesses know because a partition interrupted the change of witnesses.
BOOST_AUTO_TEST_CASE(is_required_in_both_lists_during_a_change_of_witnesses) {
  auto Joint = exampleDocument();
  Joint.PreviousWitnesses = {base::host_id("host-4"), base::host_id("host-5"),
                             base::host_id("host-6")};
  Joint.Version = 8;
  adopt(Joint);
  recordAnswer(First, Start, 8);
  recordAnswer(Second, Start, 8);
  BOOST_TEST(!Evidence.isFresh(Start));
  recordAnswer(base::host_id("host-4"), Start, 8);
  recordAnswer(base::host_id("host-5"), Start - 1s, 8);
  BOOST_TEST((*Evidence.freshUntil() == Start + 2s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(other_sources)

BOOST_AUTO_TEST_CASE(the_store_proves_freshness_alone) {
  Evidence.onStoreVersion(7, Start);
  BOOST_TEST(Evidence.isFresh(Start + 3s));
  Evidence.onStoreVersion(8, Start + 2s);
  BOOST_TEST(!Evidence.isFresh(Start + 4s));
}

// Guards against evidence whose age is reset when a peer forwards it.
BOOST_AUTO_TEST_CASE(evidence_of_a_peer_keeps_its_age) {
  Evidence.onDatedAnswer(base::host_id("host-5"), {7, Digest, false, 1s},
                         Start + 1s);
  BOOST_TEST((*Evidence.freshUntil() == Start + 3s));
  auto Answer = Evidence.answer(Start + 2s);
  BOOST_TEST((*Answer.EvidenceAge == base::duration(2s)));
}

// Guards against counting a restarted witness while an acknowledgement of its
// previous incarnation is still valid.
BOOST_AUTO_TEST_CASE(a_restarted_host_is_confirmed_after_a_delay) {
  recordAnswer(First, Start + 3s);
  recordAnswer(Second, Start + 3s);
  BOOST_TEST(!Evidence.answer(Start + 3s).Confirmed);
  recordAnswer(First, Start + 3500ms);
  recordAnswer(Second, Start + 3500ms);
  BOOST_TEST(Evidence.answer(Start + 4s).Confirmed);
}

BOOST_AUTO_TEST_CASE(a_read_of_the_store_confirms_a_host_immediately) {
  Evidence.onStoreVersion(7, Start);
  BOOST_TEST(Evidence.answer(Start).Confirmed);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
