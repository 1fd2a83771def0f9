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
  void hear(const base::host_id &Host, base::time_point AskedAt,
            configuration_version Version = 7, bool Confirmed = true) {
    Evidence.onDatedAnswer(Host, {Version, Digest, Confirmed, std::nullopt},
                           AskedAt);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(freshness, fixture)

BOOST_AUTO_TEST_SUITE(a_majority_of_the_witnesses)

BOOST_AUTO_TEST_CASE(proves_freshness_for_three_seconds) {
  hear(First, Start);
  BOOST_TEST(!Evidence.isFresh(Start));
  hear(Second, Start + 1s);
  BOOST_TEST(Evidence.isFresh(Start + 3s));
  BOOST_TEST(!Evidence.isFresh(Start + 3s + 1us));
}

// Guards against evidence that is dated when the answer arrived.
BOOST_AUTO_TEST_CASE(dates_from_when_the_question_was_sent) {
  auto Questions = Evidence.tick(Start);
  BOOST_REQUIRE_EQUAL(Questions.size(), 3U);
  for (const ask_version &Question : Questions)
    Evidence.onAnswer(Question.Host, Question.Sequence,
                      {7, Digest, true, std::nullopt});
  BOOST_TEST((*Evidence.freshUntil() == Start + 3s));
}

// Guards against an answer that is counted although it belongs to another
// question, or to none.
BOOST_AUTO_TEST_CASE(ignores_answers_to_unknown_questions) {
  auto Questions = Evidence.tick(Start);
  Evidence.onAnswer(First, Questions[1].Sequence, {7, Digest, true, 0us});
  Evidence.onAnswer(Second, 999, {7, Digest, true, 0us});
  BOOST_TEST(!Evidence.freshUntil().has_value());
}

BOOST_AUTO_TEST_CASE(does_not_count_a_version_that_the_host_lacks) {
  hear(First, Start, 8);
  hear(Second, Start, 8);
  BOOST_TEST(!Evidence.isFresh(Start));
  auto Next = exampleDocument();
  Next.Version = 8;
  adopt(Next);
  BOOST_TEST(Evidence.isFresh(Start));
}

// Guards against a restarted witness that lost what it acknowledged.
BOOST_AUTO_TEST_CASE(does_not_count_a_host_without_evidence_of_its_own) {
  hear(First, Start);
  hear(Second, Start, 7, false);
  BOOST_TEST(!Evidence.isFresh(Start));
}

// Guards against two documents of one version that confirm each other.
BOOST_AUTO_TEST_CASE(does_not_count_another_document_of_the_version) {
  hear(First, Start);
  Evidence.onDatedAnswer(Second, {7, Digest + 1, true, 0us}, Start);
  BOOST_TEST(!Evidence.isFresh(Start));
}

// Guards against a withdrawal that only the old or only the new witnesses
// know, while the change of witnesses is cut off by a partition.
BOOST_AUTO_TEST_CASE(is_needed_in_both_lists_during_a_change) {
  auto Joint = exampleDocument();
  Joint.PreviousWitnesses = {base::host_id("host-4"), base::host_id("host-5"),
                             base::host_id("host-6")};
  Joint.Version = 8;
  adopt(Joint);
  hear(First, Start, 8);
  hear(Second, Start, 8);
  BOOST_TEST(!Evidence.isFresh(Start));
  hear(base::host_id("host-4"), Start, 8);
  hear(base::host_id("host-5"), Start - 1s, 8);
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

// Guards against evidence that becomes younger as it is passed on.
BOOST_AUTO_TEST_CASE(evidence_of_a_peer_keeps_its_age) {
  Evidence.onDatedAnswer(base::host_id("host-5"), {7, Digest, false, 1s},
                         Start + 1s);
  BOOST_TEST((*Evidence.freshUntil() == Start + 3s));
  auto Answer = Evidence.answer(Start + 2s);
  BOOST_TEST((*Answer.EvidenceAge == base::duration(2s)));
}

// Guards against a restarted host that counts as a witness while an
// acknowledgement of its former incarnation is still used.
BOOST_AUTO_TEST_CASE(a_restarted_host_confirms_after_a_silence) {
  hear(First, Start + 3s);
  hear(Second, Start + 3s);
  BOOST_TEST(!Evidence.answer(Start + 3s).Confirmed);
  hear(First, Start + 3500ms);
  hear(Second, Start + 3500ms);
  BOOST_TEST(Evidence.answer(Start + 4s).Confirmed);
}

BOOST_AUTO_TEST_CASE(a_read_of_the_store_confirms_at_once) {
  Evidence.onStoreVersion(7, Start);
  BOOST_TEST(Evidence.answer(Start).Confirmed);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
