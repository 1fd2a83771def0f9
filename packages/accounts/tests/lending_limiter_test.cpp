#include "radishrelay/accounts/lending_limiter.h"

#include "radishrelay/base/random_generator.h"

#include <boost/test/unit_test.hpp>

#include <deque>

namespace radishrelay::accounts::tests {

namespace {

using namespace std::chrono_literals;

const base::account_id Account("a");
constexpr std::int64_t Rate = 130;
constexpr std::int64_t Burst = 130;
constexpr std::size_t Hosts = 13;

std::map<base::account_id, account_limits> limits(std::int64_t PerSecond) {
  return {{Account, {Account, PerSecond, Burst}}};
}

/// Hosts whose demand differs and whose messages are lost at times.
struct fleet {
  explicit fleet(std::uint64_t Seed) : Random(Seed), Limiters(Hosts) {
    for (lending_limiter &Limiter : Limiters)
      Limiter.configure(limits(Rate),
                        WholeInMillionths / static_cast<millionths>(Hosts),
                        Now);
  }

  void step(const std::vector<double> &Demand, double Loss) {
    Now += 1ms;
    for (std::size_t Host = 0; Host < Hosts; ++Host) {
      if (Random.chance(Demand[Host] / 1000.0)) {
        ++Asked;
        if (Limiters[Host].take(Account, Now))
          Admitted.push_back(Now);
      }
      for (const token_transfer &Wish : Limiters[Host].wishes(Now)) {
        std::size_t Lender = Random.below(Hosts);
        if (Lender == Host || Random.chance(Loss))
          continue;
        auto Gift = Limiters[Lender].lend(Wish, Now);
        if (Gift && !Random.chance(Loss))
          Limiters[Host].receive(*Gift, Now);
      }
    }
  }

  /// Most admissions in any window of \p Window.
  std::size_t mostIn(base::duration Window) const {
    std::size_t Most = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Admitted.size(); ++Last) {
      while (Admitted[Last] - Admitted[First] >= Window)
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return Most;
  }

  base::random_generator Random;
  base::time_point Now = base::fromMicroseconds(1'000'000);
  std::vector<lending_limiter> Limiters;
  std::vector<base::time_point> Admitted;
  std::size_t Asked = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_limit_of_an_account)

BOOST_AUTO_TEST_CASE(holds_over_all_hosts_at_any_demand) {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    fleet Fleet(Seed);
    std::vector<double> Demand(Hosts);
    for (int Millisecond = 0; Millisecond < 20000; ++Millisecond) {
      if (Millisecond % 1000 == 0)
        for (double &Value : Demand)
          Value = 60.0 * Fleet.Random.unit();
      Fleet.step(Demand, 0.05);
    }
    constexpr std::int64_t Seconds = 5;
    double Allowed = static_cast<double>(Rate * Seconds + Burst) * 1.1 + 20;
    BOOST_TEST(static_cast<double>(Fleet.mostIn(5000ms)) <= Allowed);
  }
}

BOOST_AUTO_TEST_CASE(serves_demand_below_it_though_two_hosts_have_most) {
  fleet Fleet(1);
  std::vector<double> Demand(Hosts, 2.0);
  Demand[0] = 25;
  Demand[1] = 25;
  for (int Millisecond = 0; Millisecond < 2000; ++Millisecond)
    Fleet.step(std::vector<double>(Hosts, 0.0), 0.0);
  for (int Millisecond = 0; Millisecond < 20000; ++Millisecond)
    Fleet.step(Demand, 0.0);
  double Refused = static_cast<double>(Fleet.Asked - Fleet.Admitted.size());
  BOOST_TEST(Refused / static_cast<double>(Fleet.Asked) < 0.02);
}

BOOST_AUTO_TEST_CASE(is_not_raised_by_a_host_that_holds_no_part) {
  lending_limiter Limiter;
  base::time_point Now = base::fromMicroseconds(1'000'000);
  Limiter.configure(limits(Rate), 0, Now);
  BOOST_TEST(!Limiter.take(Account, Now + 10s));
  BOOST_TEST(!Limiter.lend({Account, 5}, Now + 10s).has_value());
}

BOOST_AUTO_TEST_CASE(is_cut_at_once_when_operators_lower_it) {
  lending_limiter Limiter;
  base::time_point Now = base::fromMicroseconds(1'000'000);
  Limiter.configure(limits(Rate), WholeInMillionths, Now);
  Now += 10s;
  BOOST_TEST(Limiter.take(Account, Now));
  std::map<base::account_id, account_limits> Lowered{
      {Account, {Account, 1, 2}}};
  Limiter.configure(Lowered, WholeInMillionths, Now);
  int Taken = 0;
  while (Limiter.take(Account, Now))
    ++Taken;
  BOOST_TEST(Taken <= 2);
}

BOOST_AUTO_TEST_CASE(loses_tokens_with_a_lost_loan_and_never_creates_any) {
  lending_limiter Lender;
  base::time_point Now = base::fromMicroseconds(1'000'000);
  Lender.configure(limits(Rate), WholeInMillionths, Now);
  Now += 10s;
  std::int64_t Lent = 0;
  while (auto Gift = Lender.lend({Account, 50}, Now))
    Lent += Gift->Tokens;
  BOOST_TEST(Lent == Burst);
  BOOST_TEST(!Lender.take(Account, Now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace radishrelay::accounts::tests
