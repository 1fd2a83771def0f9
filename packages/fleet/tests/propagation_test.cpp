#include "fake_fleet.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay;
using namespace radishrelay::fleet;
using namespace radishrelay::fleet::testing;
using namespace std::chrono_literals;

/// Five hosts, the first three of them witnesses.
struct fixture {
  fake_fleet Fleet{1, 5};
  std::map<std::string, submission_result> Results;
  base::account_id Account{"installers"};

  fixture() {
    Fleet.OnFinished = [this](const submission_finished &Action) {
      Results[Action.Id] = Action.Result;
    };
    submit(0, "first", {grant_key{Account, {"k2", "s", "d"}}}, 0);
    run(3s);
  }
  void run(base::duration Duration) {
    Fleet.run(Duration, [] {});
  }
  void submit(std::size_t At, const std::string &Id, configuration_patch Patch,
              configuration_version Expected) {
    Fleet.submit(At, {Id, "clerk", "why", "now", Expected, std::move(Patch)},
                 2s);
  }
  configuration_patch withdrawal() { return {withdraw_key{Account, "k2"}}; }
  submission_status status(const std::string &Id) {
    return Results.at(Id).Status;
  }
  bool isFresh(std::size_t Index) {
    return Fleet.Hosts[Index].Replica->freshness().isFresh(Fleet.Now);
  }
  configuration_version version(std::size_t Index) {
    return Fleet.Hosts[Index].Replica->version();
  }
  void stopStore() {
    for (auto &Host : Fleet.Hosts)
      Host.StoreReachable = false;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(acknowledgements)

// Guards against a majority that includes the acknowledgement of a witness that
// has restarted since. Acknowledgements count together only within 3 s.
BOOST_AUTO_TEST_CASE(expire_before_a_restarted_witness_counts_again) {
  base::time_point Now = base::fromMicroseconds(1'000'000);
  editor_options Options;
  Options.InitialDocument = exampleDocument();
  configuration_editor Editor(Options);
  configuration_patch Patch{set_limit{base::account_id("installers"), 1, 1}};
  fake_store Store;
  auto Actions =
      Editor.submit({"a", "clerk", "why", "now", 7, Patch}, Now, Now + 60s);
  while (const auto *Use = std::get_if<send_store_request>(&Actions.at(0)))
    Actions = Editor.onStoreAnswer(Use->Id, Store.execute(Use->Request), Now);
  auto Acknowledge = [&](const char *Host) {
    for (const editor_action &Action : editor_actions(Actions))
      if (const auto *Offer = std::get_if<store_at_witness>(&Action))
        if (Offer->Host.str() == Host)
          return Editor.onWitnessAnswer(Offer->Sequence, 8, Now);
    return editor_actions();
  };
  BOOST_TEST(Acknowledge("host-1").empty());
  Now += 3100ms;
  Actions = Editor.tick(Now);
  BOOST_TEST(Acknowledge("host-2").empty());
  auto Result = Acknowledge("host-1");
  BOOST_REQUIRE_EQUAL(Result.size(), 1U);
  BOOST_TEST((std::get<submission_finished>(Result[0]).Result.Status ==
              submission_status::Accepted));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(propagation, fixture)

BOOST_AUTO_TEST_SUITE(submissions)

BOOST_AUTO_TEST_CASE(an_accepted_patch_reaches_all_hosts) {
  BOOST_TEST((status("first") == submission_status::Accepted));
  for (std::size_t Index = 0; Index < 5; ++Index) {
    BOOST_TEST(version(Index) == 1U);
    BOOST_TEST(isFresh(Index));
  }
}

// Guards against one operator silently overwriting another's change.
BOOST_AUTO_TEST_CASE(one_of_two_concurrent_patches_is_a_conflict) {
  submit(3, "a", withdrawal(), 1);
  submit(4, "b", {set_limit{Account, 1, 1}}, 1);
  run(2s);
  bool FirstWon = status("a") == submission_status::Accepted;
  auto Loser = Results.at(FirstWon ? "b" : "a");
  BOOST_TEST((Loser.Status == submission_status::Conflict));
  BOOST_TEST(Loser.CurrentVersion == 2U);
  BOOST_TEST((Loser.Ran == submission_effect::No));
}

// Guards against a repeated submission that is refused as a conflict with
// itself or takes effect twice, also on a restarted host, which has no memory
// of the first one.
BOOST_AUTO_TEST_CASE(a_repeated_submission_receives_the_first_answer) {
  submit(3, "a", withdrawal(), 1);
  run(1s);
  Results.clear();
  Fleet.restart(3);
  submit(3, "a", withdrawal(), 1);
  run(2s);
  BOOST_TEST((status("a") == submission_status::Accepted));
  BOOST_TEST(Results.at("a").Version == 2U);
  submit(3, "a", {set_limit{Account, 1, 1}}, 2);
  run(1s);
  BOOST_TEST((status("a") == submission_status::Invalid));
}

// Guards against refusing a patch as a conflict when only the store's answer
// was lost.
BOOST_AUTO_TEST_CASE(lost_store_answers_are_resolved_by_repetition) {
  Fleet.Network.StoreLoss = 0.5;
  int Accepted = 0;
  for (int Round = 0; Round < 20; ++Round) {
    submit(3, "r" + std::to_string(Round), {set_limit{Account, Round, 1}},
           version(3));
    run(3s);
    auto Result = Results.at("r" + std::to_string(Round));
    Accepted += Result.Status == submission_status::Accepted ? 1 : 0;
    BOOST_TEST((Result.Status != submission_status::Conflict));
  }
  BOOST_TEST(Accepted > 0);
}

// Guards against reporting an unknown outcome when the store was never reached.
BOOST_AUTO_TEST_CASE(a_patch_during_a_store_outage_is_refused_as_not_run) {
  stopStore();
  submit(0, "a", withdrawal(), 1);
  run(3s);
  BOOST_TEST((status("a") == submission_status::StoreUnavailable));
  BOOST_TEST((Results.at("a").Ran == submission_effect::No));
}

// Guards against reporting a patch as accepted (200) before a majority of the
// witnesses has acknowledged it.
BOOST_AUTO_TEST_CASE(without_witnesses_a_patch_is_stored_but_not_confirmed) {
  Fleet.Hosts[0].NetworkPartition = Fleet.Hosts[3].NetworkPartition = 1;
  submit(3, "a", withdrawal(), 1);
  run(3s);
  BOOST_TEST((status("a") == submission_status::StoredUnconfirmed));
  BOOST_TEST((Results.at("a").Ran == submission_effect::Yes));
}

BOOST_AUTO_TEST_CASE(a_change_of_witnesses_completes_automatically) {
  submit(0, "w", {set_witnesses{{Fleet.Hosts[3].Id, Fleet.Hosts[4].Id}}}, 1);
  run(5s);
  BOOST_TEST((status("w") == submission_status::Accepted));
  const auto &Document = Fleet.Hosts[2].Replica->index()->document();
  BOOST_TEST(Document.Version == 3U);
  BOOST_TEST(Document.PreviousWitnesses.empty());
  BOOST_TEST(isFresh(2));
}

// Guards against completing a change of witnesses without a majority of the old
// ones.
BOOST_AUTO_TEST_CASE(a_change_of_witnesses_waits_for_both_lists) {
  Fleet.Hosts[1].NetworkPartition = Fleet.Hosts[2].NetworkPartition = 1;
  submit(0, "w", {set_witnesses{{Fleet.Hosts[3].Id, Fleet.Hosts[4].Id}}}, 1);
  run(5s);
  BOOST_TEST((status("w") == submission_status::StoredUnconfirmed));
  BOOST_TEST(
      !Fleet.Hosts[3].Replica->index()->document().PreviousWitnesses.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(outages)

// Guards against refusing keyed requests during an outage of the store alone.
BOOST_AUTO_TEST_CASE(hosts_stay_fresh_during_a_store_outage) {
  stopStore();
  for (int Second = 0; Second < 60; ++Second) {
    run(1s);
    for (std::size_t Index = 0; Index < 5; ++Index)
      BOOST_TEST(isFresh(Index));
  }
}

// Guards against accepting a withdrawn key on a host that the withdrawal could
// not reach.
BOOST_AUTO_TEST_CASE(a_partitioned_host_is_not_fresh_after_three_seconds) {
  Fleet.Hosts[4].NetworkPartition = 1;
  Fleet.Hosts[4].StoreReachable = false;
  submit(0, "a", withdrawal(), 1);
  run(3100ms);
  BOOST_TEST((status("a") == submission_status::Accepted));
  BOOST_TEST(!isFresh(4));
  BOOST_TEST(isFresh(3));
  Fleet.Hosts[4].NetworkPartition = 0;
  run(3s);
  BOOST_TEST(isFresh(4));
  BOOST_TEST(version(4) == 2U);
}

// Guards against a restarted host that serves an empty configuration.
BOOST_AUTO_TEST_CASE(a_host_restarted_in_a_store_outage_recovers_from_peers) {
  stopStore();
  Fleet.restart(4);
  BOOST_TEST(!isFresh(4));
  run(3s);
  BOOST_TEST(version(4) == 1U);
  BOOST_TEST(isFresh(4));
}

BOOST_AUTO_TEST_CASE(a_host_restarted_without_store_or_peers_is_not_fresh) {
  stopStore();
  Fleet.Hosts[4].NetworkPartition = 1;
  Fleet.restart(4);
  run(10s);
  BOOST_TEST(!isFresh(4));
  BOOST_TEST(version(4) == 0U);
}

// Guards against accepting one possibly stale witness as evidence after the
// other two have restarted.
BOOST_AUTO_TEST_CASE(hosts_without_a_majority_of_witnesses_need_the_store) {
  stopStore();
  Fleet.restart(0);
  Fleet.restart(1);
  run(20s);
  BOOST_TEST(!isFresh(3));
  Fleet.Hosts[0].StoreReachable = true;
  run(5s);
  BOOST_TEST(isFresh(3));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against ignoring a version row whose number JSON holds as a signed
// integer, so that reads of the store give no evidence.
BOOST_AUTO_TEST_CASE(a_signed_version_from_the_store_is_evidence) {
  configuration_replica Replica(base::host_id("host-1"), Fleet.Now);
  Replica.onDocument(exampleDocument());
  auto Actions = Replica.tick(Fleet.Now);
  base::store_answer Answer;
  Answer.Outcome = base::store_outcome::Done;
  Answer.SentAt = Fleet.Now;
  Answer.Rows = {{versionRow(), 1, {{"version", std::int64_t(7)}}}};
  Replica.onStoreAnswer(std::get<read_store>(Actions.at(0)).Id, Answer,
                        Fleet.Now);
  BOOST_TEST(Replica.freshness().isFresh(Fleet.Now));
}

BOOST_AUTO_TEST_SUITE(deltas)

BOOST_AUTO_TEST_CASE(contain_the_whole_document_for_a_host_without_one) {
  submit(0, "a", withdrawal(), 1);
  run(2s);
  auto &Replica = *Fleet.Hosts[1].Replica;
  BOOST_TEST(Replica.deltaSince(2).Patches.empty());
  BOOST_TEST(Replica.deltaSince(0).Document.has_value());
}

// Guards against adopting a delta that produces another document than the
// sender's.
BOOST_AUTO_TEST_CASE(are_rejected_if_the_digest_differs) {
  auto &Replica = *Fleet.Hosts[1].Replica;
  configuration_delta Delta{1, 2, {withdrawal()}, std::nullopt, "00"};
  auto Actions = Replica.onDelta(Fleet.Hosts[2].Id, Delta, Fleet.Now);
  BOOST_TEST(Replica.version() == 1U);
  BOOST_REQUIRE_EQUAL(Actions.size(), 1U);
  BOOST_TEST(std::get<fetch_configuration>(Actions[0]).Since == 0U);
}

BOOST_AUTO_TEST_CASE(an_older_document_does_not_lower_the_version) {
  auto &Replica = *Fleet.Hosts[1].Replica;
  auto Older = exampleDocument();
  Older.Version = 0;
  BOOST_TEST(Replica.onDocument(Older).empty());
  BOOST_TEST(Replica.version() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
