#ifndef RADISHRELAY_FLEET_TESTS_CONFIGURATION_FIXTURE_H
#define RADISHRELAY_FLEET_TESTS_CONFIGURATION_FIXTURE_H

#include "radishrelay/fleet/configuration_patch.h"

namespace radishrelay::fleet::testing {

/// A permit office with one account, one group, two routes and three
/// witnesses.
inline configuration_document exampleDocument() {
  configuration_document Document;
  Document.Version = 7;
  Document.Accounts = {
      {base::account_id("installers"), 200, 400, {{"k1", "salt", "digest"}}}};
  Document.Groups = {{base::group_id("permits"),
                      3,
                      50,
                      {{base::instance_id("permits-1"), "127.0.0.1:5501",
                        base::failure_domain_id("boston")}}}};
  route File;
  File.Name = "file-permit";
  File.Group = base::group_id("permits");
  File.Statement = "INSERT INTO permits(address) VALUES ($1)";
  File.Kind = route_kind::Write;
  File.Parameters = {"address"};
  route Look;
  Look.Name = "permit-status";
  Look.Group = base::group_id("permits");
  Look.Statement = "SELECT status FROM permits WHERE id = $1";
  Look.MaxAge = std::chrono::milliseconds(500);
  Look.Parameters = {"id"};
  Document.Routes = {File, Look};
  Document.SessionKeys = {{"s1", "secret"}};
  Document.Witnesses = {base::host_id("host-1"), base::host_id("host-2"),
                        base::host_id("host-3")};
  return Document;
}

} // namespace radishrelay::fleet::testing

#endif
