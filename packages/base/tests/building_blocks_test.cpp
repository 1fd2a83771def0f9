#include "radishrelay/base/bounded_ring.h"
#include "radishrelay/base/digest.h"
#include "radishrelay/base/metrics_registry.h"
#include "radishrelay/base/random_generator.h"
#include "radishrelay/base/rendezvous.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace {

using namespace radishrelay::base;

std::vector<std::string> tenHosts() {
  std::vector<std::string> Names;
  for (int Index = 0; Index < 10; ++Index)
    Names.push_back("host-" + std::to_string(Index));
  return Names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(building_blocks)

BOOST_AUTO_TEST_SUITE(digests)

BOOST_AUTO_TEST_CASE(sha256_and_hmac_match_published_test_vectors) {
  BOOST_TEST(
      encodeHex(sha256("abc")) ==
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  BOOST_TEST(
      encodeHex(hmacSha256("Jefe", "what do ya want for nothing?")) ==
      "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

BOOST_AUTO_TEST_CASE(base64url_round_trips_and_rejects_non_canonical_text) {
  std::string Data("\x00\xff\x10 text", 8);
  BOOST_TEST(decodeBase64Url(encodeBase64Url(Data)).value() == Data);
  BOOST_TEST(!decodeBase64Url("QQ==").has_value());
  BOOST_TEST(!decodeBase64Url("QR").has_value());
}

BOOST_AUTO_TEST_CASE(constant_time_comparison_checks_length_and_content) {
  BOOST_TEST(constantTimeEqual("abc", "abc"));
  BOOST_TEST(!constantTimeEqual("abc", "abd"));
  BOOST_TEST(!constantTimeEqual("abc", "ab"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(rendezvous)

// Guards against a removal that reassigns keys of the remaining members.
BOOST_AUTO_TEST_CASE(removal_moves_only_the_keys_of_the_removed_member) {
  std::vector<std::string> All = tenHosts();
  std::vector<std::string> Fewer(All.begin(), All.end() - 1);
  for (int Key = 0; Key < 1000; ++Key) {
    std::string Name = "key-" + std::to_string(Key);
    std::string Before = rendezvousOrder(Name, All).front();
    std::string After = rendezvousOrder(Name, Fewer).front();
    if (Before != All.back())
      BOOST_TEST(Before == After);
  }
}

BOOST_AUTO_TEST_CASE(share_of_keys_is_proportional_to_weight) {
  std::vector<rendezvous_member> Members{{"a", 1}, {"b", 3}, {"c", 0}};
  std::map<std::string, int> Count;
  for (int Key = 0; Key < 8000; ++Key)
    ++Count[rendezvousOrder("k" + std::to_string(Key), Members).front()];
  BOOST_TEST(Count["c"] == 0);
  BOOST_TEST(Count["b"] > 5700);
  BOOST_TEST(Count["b"] < 6300);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(rings)

BOOST_AUTO_TEST_CASE(push_to_a_full_ring_fails_and_leaves_the_item) {
  bounded_ring<std::string> Ring(1);
  BOOST_TEST(Ring.tryPush("first"));
  std::string Second = "second";
  bool Pushed = Ring.tryPush(std::move(Second));
  BOOST_TEST(!Pushed);
  // The caller still needs the refused item in order to reply to it.
  // NOLINTNEXTLINE(bugprone-use-after-move)
  BOOST_TEST(Second == "second");
}

BOOST_AUTO_TEST_CASE(closed_ring_returns_remaining_items_and_accepts_no_more) {
  bounded_ring<int> Ring(2);
  BOOST_TEST(Ring.tryPush(1));
  Ring.close();
  BOOST_TEST(!Ring.tryPush(2));
  BOOST_TEST(Ring.tryPop().value() == 1);
  BOOST_TEST(!Ring.popUntil(monotonic_clock::now()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(metrics)

BOOST_AUTO_TEST_CASE(prometheus_text_has_types_labels_and_values) {
  metrics_registry Registry;
  Registry.increment({"requests_total", "account", "a\"b"}, 3);
  Registry.setGauge({"ready"}, 1);
  for (int Sample = 1; Sample <= 1000; ++Sample)
    Registry.observe({"latency_seconds"}, duration(Sample));
  std::string Text = Registry.prometheusText();
  BOOST_TEST(Text.find("# TYPE requests_total counter\n"
                       "requests_total{account=\"a\\\"b\"} 3\n") !=
             std::string::npos);
  BOOST_TEST(Text.find("ready 1\n") != std::string::npos);
  BOOST_TEST(Text.find("latency_seconds_count 1000\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(estimated_quantiles_are_close_on_a_uniform_sample) {
  latency_summary Summary;
  random_generator Random(7);
  for (int Sample = 0; Sample < 20000; ++Sample)
    Summary.add(duration(static_cast<std::int64_t>(Random.below(1000))));
  BOOST_TEST(Summary.quantile(0.5) > 480);
  BOOST_TEST(Summary.quantile(0.5) < 520);
  BOOST_TEST(Summary.quantile(0.99) > 975);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
