#include "support/fake_store.h"

#include "radishrelay/accounts/host_slots.h"
#include "radishrelay/accounts/leased_shares.h"
#include "radishrelay/accounts/limits_timing.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay;
using namespace radishrelay::accounts;
using namespace radishrelay::accounts::fakes;
using namespace std::chrono_literals;

const base::time_point Start = base::fromMicroseconds(1'000'000);
const base::account_id Installers("installers");

host_identity identity(const std::string &Host, const std::string &Domain,
                       std::uint64_t Incarnation) {
  return {base::host_id(Host), base::failure_domain_id(Domain), Incarnation};
}

/// Executes the requests of \p Slots until it has none.
void runUntilIdle(host_slots &Slots, fake_store &Store, std::int64_t Count,
                  base::time_point Now) {
  while (auto Request = Slots.poll(Count, Now))
    Slots.answer(Store.apply(*Request), Now);
}

struct share_fixture {
  share_fixture() { Limits.adopt({1, 4, 0, {{Installers, 10, 10}}}, Start); }

  void runUntilIdle(leased_shares &Shares, std::int64_t Demand,
                    base::time_point Now) {
    while (auto Request =
               Shares.poll({{Installers, true, Demand, 0}}, Limits, Now))
      Shares.answer(Store.apply(*Request), Now);
  }

  fake_store Store;
  limit_phases Limits;
  leased_shares Boston{identity("h1", "boston", 1)};
  leased_shares Hartford{identity("h2", "hartford", 2)};
};

} // namespace

BOOST_AUTO_TEST_SUITE(leases)

BOOST_AUTO_TEST_SUITE(a_host_slot)

// Guards against floor shares that are used while leased shares granted before
// the slot was claimed are still valid.
BOOST_AUTO_TEST_CASE(is_usable_once_earlier_leased_shares_have_ended) {
  fake_store Store;
  host_slots Slots(identity("h1", "boston", 1));
  runUntilIdle(Slots, Store, 4, Start);
  BOOST_TEST(Slots.holds(Start));
  base::duration Wait = timing::ShareLease + timing::ShareMargin;
  BOOST_TEST(!Slots.floorUsable(Start + Wait - 1us));
  BOOST_TEST(Slots.floorUsable(Start + Wait));
  BOOST_TEST(!Slots.holds(Start + timing::SlotLease));
}

// Guards against two hosts that hold one slot, and against slots that are never
// free again.
BOOST_AUTO_TEST_CASE(passes_to_another_host_only_after_its_lease) {
  fake_store Store;
  host_slots First(identity("h1", "boston", 1));
  host_slots Second(identity("h2", "boston", 2));
  runUntilIdle(First, Store, 1, Start);
  runUntilIdle(Second, Store, 1, Start);
  base::time_point Expiry = Start + timing::SlotLease + timing::SlotMargin;
  runUntilIdle(Second, Store, 1, Expiry - 2s);
  BOOST_TEST(!Second.holds(Expiry - 2s));
  runUntilIdle(Second, Store, 1, Expiry);
  BOOST_TEST(Second.holds(Expiry));
  BOOST_TEST(!First.holds(Expiry));
}

// Guards against a restarted host that claims a second slot, and against its
// previous process that resumes and claims the slot again.
BOOST_AUTO_TEST_CASE(is_claimed_again_by_its_restarted_host) {
  fake_store Store;
  host_slots Old(identity("h1", "boston", 1));
  host_slots New(identity("h1", "boston", 2));
  runUntilIdle(Old, Store, 4, Start);
  runUntilIdle(New, Store, 4, Start + 1s);
  BOOST_TEST((New.slot() == Old.slot()));
  BOOST_TEST(!New.floorUsable(Start + 2s));
  runUntilIdle(Old, Store, 4, Start + 61s);
  runUntilIdle(Old, Store, 4, Start + 63s);
  BOOST_TEST(!Old.holds(Start + 63s));
  BOOST_TEST(Store.Rows.size() == 1U);
}

// Guards against a slot that stays claimed but unused after a lost answer, and
// against a lease that counts from the read instead of the write.
BOOST_AUTO_TEST_CASE(is_found_again_after_a_lost_answer) {
  fake_store Store;
  host_slots Slots(identity("h1", "boston", 1));
  Slots.answer(Store.apply(*Slots.poll(4, Start)), Start);
  Store.apply(*Slots.poll(4, Start));
  Slots.answer(base::store_answer(), Start + 1s);
  BOOST_TEST(!Slots.holds(Start + 1s));
  Slots.answer(Store.apply(*Slots.poll(4, Start + 3s)), Start + 3s);
  BOOST_TEST(Slots.holds(Start + 3s));
  BOOST_TEST((Slots.deadline() == Start + timing::SlotLease));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_leased_share, share_fixture)

// Guards against a lease that lasts longer than other hosts assume: they count
// from the record, which may be written before the answer arrives.
BOOST_AUTO_TEST_CASE(has_a_lease_that_starts_before_its_store_requests) {
  auto Ask = [&](base::time_point Now) {
    return *Boston.poll({{Installers, true, 0, 0}}, Limits, Now);
  };
  Boston.answer(Store.apply(Ask(Start)), Start + 400ms);
  Boston.answer(Store.apply(Ask(Start + 400ms)), Start + 800ms);
  Boston.answer(Store.apply(Ask(Start + 800ms)), Start + 2s);
  BOOST_TEST((Boston.deadline(Installers) == Start + timing::ShareLease));
  BOOST_TEST(Boston.share(Installers, Start + 2s) == WholeInMillionths);
  BOOST_TEST(Boston.share(Installers, Start + timing::ShareLease) == 0);
}

// Guards against a share that is raised before another domain has lowered its
// own, and against use of the old share while the lower one may be in the
// store.
BOOST_AUTO_TEST_CASE(is_lowered_before_another_is_raised) {
  runUntilIdle(Boston, 10, Start);
  runUntilIdle(Hartford, 10, Start);
  BOOST_TEST(Hartford.share(Installers, Start) == 0);
  base::time_point Now = Start + timing::ShareRenewalInterval;
  Boston.answer(
      Store.apply(*Boston.poll({{Installers, true, 10, 0}}, Limits, Now)), Now);
  Boston.answer(
      Store.apply(*Boston.poll({{Installers, true, 10, 0}}, Limits, Now)), Now);
  auto Lower = Boston.poll({{Installers, true, 10, 0}}, Limits, Now);
  BOOST_TEST(Boston.share(Installers, Now) == 500'000);
  Store.apply(*Lower);
  runUntilIdle(Hartford, 10, Now);
  BOOST_TEST(Hartford.share(Installers, Now) == 500'000);
  Boston.answer(base::store_answer(), Now + 300ms);
  BOOST_TEST(Boston.share(Installers, Now + 300ms) == 500'000);
}

// Guards against a published share that is lower than the tokens on loan.
BOOST_AUTO_TEST_CASE(is_not_lowered_below_what_is_lent) {
  runUntilIdle(Boston, 10, Start);
  runUntilIdle(Hartford, 10, Start);
  base::time_point Now = Start + timing::ShareRenewalInterval;
  while (auto Request =
             Boston.poll({{Installers, true, 10, 800'000}}, Limits, Now))
    Boston.answer(Store.apply(*Request), Now);
  BOOST_TEST(Boston.share(Installers, Now) == 800'000);
}

// Guards against a share that another domain takes while its owner may still
// use it.
BOOST_AUTO_TEST_CASE(is_free_once_its_row_is_unchanged_for_lease_and_margin) {
  runUntilIdle(Boston, 10, Start);
  runUntilIdle(Hartford, 10, Start);
  base::duration Expiry = timing::ShareLease + timing::ShareMargin;
  base::time_point Before = Start + Expiry - 250ms;
  runUntilIdle(Hartford, 10, Before);
  BOOST_TEST(Hartford.share(Installers, Before) == 0);
  runUntilIdle(Hartford, 10, Start + Expiry);
  BOOST_TEST(Hartford.share(Installers, Start + Expiry) == WholeInMillionths);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
