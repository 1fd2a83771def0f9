#ifndef RADISHRELAY_BACKEND_TESTS_GROUP_FIXTURE_H
#define RADISHRELAY_BACKEND_TESTS_GROUP_FIXTURE_H

#include "backend_client.h"
#include "radishrelay/backend/stand_in_group.h"

namespace radishrelay::backend::tests {

inline stand_in_options withPermits() {
  stand_in_options Options;
  Options.ConnectDelay = base::duration::zero();
  // Longer than any pause of a busy machine.
  Options.LockWait = std::chrono::minutes(10);
  Options.Schema = {
      {"CREATE TABLE permits (id INTEGER PRIMARY KEY, status TEXT)", {}}};
  return Options;
}

inline statement sql(std::string Text, std::vector<sql_value> Values = {}) {
  return {std::move(Text), std::move(Values)};
}

inline statement insertPermit(const std::string &Id) {
  return sql("INSERT INTO permits VALUES ($1, 'filed')", {Id});
}

/// A group of three instances with a table of permits, and a client.
struct group_fixture {
  explicit group_fixture(const stand_in_options &Options = withPermits())
      : Group(Options) {}

  /// Number of permits that are committed on an instance.
  [[nodiscard]] std::string permitsAt(std::size_t Instance) const {
    auto Count = Group.query(Instance, sql("SELECT count(*) FROM permits"));
    return Count.Rows.at(0).at(0).value_or("NULL");
  }

  /// Waits until the instance is at the position.
  void awaitPosition(std::size_t Instance,
                     groups::log_position Position) const {
    auto IsThere = [=](const std::vector<stand_in_report> &Reports) {
      return Reports[Instance].Status.Position == Position;
    };
    BOOST_REQUIRE(Group.waitUntil(IsThere, farDeadline()));
  }

  void file(connection_id Connection, const std::string &Id) {
    Client.expectRun(Connection, {insertPermit(Id)});
  }

  stand_in_group Group;
  backend_client Client;
};

} // namespace radishrelay::backend::tests

#endif
