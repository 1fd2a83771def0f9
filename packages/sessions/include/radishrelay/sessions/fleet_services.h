#ifndef RADISHRELAY_SESSIONS_FLEET_SERVICES_H
#define RADISHRELAY_SESSIONS_FLEET_SERVICES_H

#include "radishrelay/base/expected.h"
#include "radishrelay/base/store_answer.h"
#include "radishrelay/sessions/catalog.h"
#include "radishrelay/sessions/instance_listing.h"
#include "radishrelay/sessions/order_outcome.h"

#include <cstdint>
#include <memory>
#include <set>
#include <vector>

namespace radishrelay::sessions {

/// The versions between which a source was read; see base::versionIn.
struct read_span {
  /// Version after which changes were requested; 0 if everything was read.
  std::uint64_t After = 0;
  /// Version of the store at which the source was read.
  std::uint64_t UpTo = 0;

  friend bool operator==(const read_span &, const read_span &) = default;
};

/// The operators' configuration and evacuations as read from the platform.
struct catalog_reading {
  /// Null if there was no change.
  catalog_ptr Catalog;
  read_span Span;
  /// All failure domains that are evacuated.
  std::set<base::failure_domain_id> Evacuated;

  friend bool operator==(const catalog_reading &,
                         const catalog_reading &) = default;
};

/// Provides the operators' configuration and evacuations. Blocking; used by one
/// thread.
class catalog_source {
public:
  virtual ~catalog_source() = default;
  /// Waits up to \p Wait for a change since the last call.
  virtual base::expected<catalog_reading> next(base::duration Wait,
                                               base::time_point Deadline) = 0;
};

/// The list of instances as read from the platform.
struct instance_reading {
  std::vector<instance_listing> List;
  read_span Span;
  /// Version of the last change of the list, or a later one.
  std::uint64_t ChangedVersion = 0;

  friend bool operator==(const instance_reading &,
                         const instance_reading &) = default;
};

/// Lists the instances. Blocking; used by one thread.
class instance_source {
public:
  virtual ~instance_source() = default;
  /// Waits up to \p Wait for a change since the last call, then returns the
  /// whole list.
  virtual base::expected<instance_reading> next(base::duration Wait,
                                                base::time_point Deadline) = 0;
};

/// The tables in which the fleet stores durable data. Blocking; used by one
/// thread.
class table_store {
public:
  virtual ~table_store() = default;
  virtual base::store_answer execute(const base::store_request &Request,
                                     base::time_point Deadline) = 0;
};

/// The outcome of an order and, unless it was accepted, the cause.
struct order_result {
  order_outcome Outcome = order_outcome::Accepted;
  base::failure Failure;
};

/// Orders the platform to promote an instance. Blocking; used by one thread.
class promotion_service {
public:
  virtual ~promotion_service() = default;
  /// \p Holder is the host that gives the order; \p Generation increases each
  /// time another host takes over this duty.
  virtual order_result promote(const base::group_id &Group,
                               const base::instance_id &Instance,
                               const base::host_id &Holder,
                               std::uint64_t Generation,
                               base::time_point Deadline) = 0;
};

/// Services of the platform that the fleet runs on.
struct fleet_services {
  std::unique_ptr<catalog_source> Catalog;
  std::unique_ptr<instance_source> Instances;
  std::unique_ptr<table_store> Tables;
  std::unique_ptr<promotion_service> Promotions;
};

} // namespace radishrelay::sessions

#endif
