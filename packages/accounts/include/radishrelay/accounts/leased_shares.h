#ifndef RADISHRELAY_ACCOUNTS_LEASED_SHARES_H
#define RADISHRELAY_ACCOUNTS_LEASED_SHARES_H

#include "radishrelay/accounts/host_identity.h"
#include "radishrelay/accounts/limit_phases.h"
#include "radishrelay/accounts/row_change_tracker.h"
#include "radishrelay/accounts/share_record.h"
#include "radishrelay/accounts/share_request.h"
#include "radishrelay/base/store_answer.h"

#include <map>
#include <optional>
#include <vector>

namespace radishrelay::accounts {

/// Leases this failure domain's shares of the accounts that the host owns.
///
/// Each cycle reads the slots, then the shares, then writes the rows of all
/// accounts of the host in one transaction: one write request per owner host
/// and second. A lease counts from before the slots were read, so that a slot
/// claimed later becomes usable only after the lease has ended.
///
/// A write whose answer was lost may take effect until the version of its row
/// has changed. Until then the usable share is the smallest of the held share
/// and those of all unresolved writes.
class leased_shares {
public:
  explicit leased_shares(host_identity Self) : Self(std::move(Self)) {}

  /// Returns the next store request if one is due.
  std::optional<base::store_request>
  poll(const std::vector<share_request> &Requests, const limit_phases &Limits,
       base::time_point Now);

  /// Handles the answer to the last request that poll returned.
  void answer(const base::store_answer &Answer, base::time_point Now);

  /// The leased share of \p Account that may be used at \p Now.
  [[nodiscard]] millionths share(const base::account_id &Account,
                                 base::time_point Now) const;

  /// End of the account's lease; the zero time point without a lease.
  [[nodiscard]] base::time_point
  deadline(const base::account_id &Account) const;

  /// True while any account has an unexpired lease.
  [[nodiscard]] bool holdsAnyLease(base::time_point Now) const;

  [[nodiscard]] base::json dump() const;

private:
  struct lease {
    std::uint64_t Sequence = 0;
    millionths Share = 0;
    base::time_point Deadline;
  };
  /// A write whose effect is unknown.
  struct unresolved_write {
    lease Lease;
    base::row_version BaseVersion = 0;
  };
  struct account_state {
    std::optional<lease> Held;
    std::vector<unresolved_write> UnresolvedWrites;
    /// Upper bound of the usable share until the next cycle, set when a lower
    /// share cannot be published because tokens are on loan.
    millionths ShareCap = WholeInMillionths;
    std::uint64_t LastSequence = 0;
  };
  enum class step { ReadingSlots, ReadingShares, Writing };

  base::store_request startRead(step Step, const std::string &Table);
  std::optional<base::store_request>
  startWrite(const std::vector<share_request> &Requests,
             const limit_phases &Limits, base::time_point Now);
  void observe(const share_record &Record, base::time_point Now);
  void resolve(account_state &State, const share_record &Record);
  std::optional<share_entry> planEntry(const share_request &Request,
                                       const share_record &Record,
                                       const limit_phases &Limits,
                                       base::time_point Now);
  std::optional<share_entry> planHandOver(const share_request &Request,
                                          account_state &State,
                                          base::time_point Now);
  [[nodiscard]] bool isLive(const share_record &Record,
                            const base::failure_domain_id &Domain,
                            const share_entry &Entry,
                            base::time_point Now) const;
  [[nodiscard]] millionths sumOfOthers(const share_record &Record,
                                       base::time_point Now) const;
  [[nodiscard]] millionths target(const share_request &Request,
                                  const share_record &Record,
                                  millionths Leasable,
                                  base::time_point Now) const;
  [[nodiscard]] bool isOwn(const share_entry &Entry) const;
  void scheduleRenewal(const base::account_id &Account);
  static base::time_point renewalTime(const lease &Lease);
  void onWriteDone();

  host_identity Self;
  row_change_tracker Tracker;
  std::map<base::account_id, account_state> Accounts;
  std::map<base::account_id, share_record> Records;
  std::vector<std::int64_t> ClaimedSlots;
  /// Sequence number of each account in the transaction in flight.
  std::map<base::account_id, std::uint64_t> SequencesInFlight;
  std::optional<step> InFlight;
  step Next = step::ReadingSlots;
  base::time_point CycleStartedAt;
  base::time_point NextAt;
};

} // namespace radishrelay::accounts

#endif
