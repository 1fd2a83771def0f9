#ifndef RADISHRELAY_FLEET_TESTS_CONFIGURATION_FIXTURE_H
#define RADISHRELAY_FLEET_TESTS_CONFIGURATION_FIXTURE_H

#include "radishrelay/fleet/configuration_patch.h"

namespace radishrelay::fleet::testing {

/// Returns a valid document at version 7 with one account, one group, a read
/// and a write route, and three witnesses.
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
  route WriteRoute;
  WriteRoute.Name = "file-permit";
  WriteRoute.Group = base::group_id("permits");
  WriteRoute.Statement = "INSERT INTO permits(address) VALUES ($1)";
  WriteRoute.Kind = route_kind::Write;
  WriteRoute.Parameters = {"address"};
  route ReadRoute;
  ReadRoute.Name = "permit-status";
  ReadRoute.Group = base::group_id("permits");
  ReadRoute.Statement = "SELECT status FROM permits WHERE id = $1";
  ReadRoute.MaxAge = std::chrono::milliseconds(500);
  ReadRoute.Parameters = {"id"};
  Document.Routes = {WriteRoute, ReadRoute};
  Document.SessionKeys = {{"s1", "secret"}};
  Document.Witnesses = {base::host_id("host-1"), base::host_id("host-2"),
                        base::host_id("host-3")};
  return Document;
}

} // namespace radishrelay::fleet::testing

#endif
