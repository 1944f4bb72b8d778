#ifndef GATEWAY_SRC_ACCOUNT_QUOTAS_H_
#define GATEWAY_SRC_ACCOUNT_QUOTAS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "base/base.h"
#include "gateway/src/arrival_rate.h"
#include "gateway/src/client_account.h"
#include "gateway/src/holder_set.h"
#include "gateway/src/instance_record.h"
#include "gateway/src/quota_message.h"
#include "gateway/src/token_bucket.h"
#include "gateway/src/token_plan.h"

namespace baobabwall::gateway {

/// \brief Bound on the requests of each account that run in any window of the
/// given length, over all instances:
/// (rate x window + burst) x (1 + overshoot) + slack.
struct QuotaBound {
  absl::Duration window = absl::Seconds(5);
  double overshoot = 0.1;
  double slack = 20;
};

/// \brief Rules of the protocol. Tests disable one to verify that they detect
/// its absence.
struct QuotaRules {
  bool remove_given_tokens = true;
  bool drop_stale_messages = true;
  bool bound_tokens = true;
  bool start_without_tokens = true;
  bool delay_new_holders = true;
  bool count_departed_holders = true;
};

/// \brief Enforces the quotas of all client accounts at one instance, together
/// with the other instances.
///
/// In each of H holders (HolderSet), 1/H of an account's rate accrues as
/// tokens. A request takes a token. Instances report their tokens and their
/// demand to each other, and give tokens away where others need them more. A
/// token that is lost with a message or a process is not replaced, and an
/// instance holds a bounded number of tokens. The requests that run in a window
/// are therefore at most what accrues in the window plus the tokens that all
/// instances can hold, whatever happens to messages, processes and clocks,
/// without a central allocator and without a store call for a request.
///
/// Uses neither I/O nor a clock; times are those of a clock that continues
/// while the machine is suspended. Not thread-safe.
class AccountQuotas {
 public:
  /// Interval of messages that give tokens or report a shortage.
  static constexpr absl::Duration kUrgentInterval = absl::Milliseconds(100);
  /// Interval of other messages. Both intervals grow with the number of holders
  /// above kMaxHoldersAtMinInterval, so that the number of messages that an
  /// instance receives per second is bounded.
  static constexpr absl::Duration kReportInterval = absl::Milliseconds(400);
  static constexpr size_t kMaxHoldersAtMinInterval = 20;
  /// An instance that has sent nothing for this time gets no tokens: three
  /// messages in a row were lost, or it does not run.
  static constexpr absl::Duration kMaxSilence = absl::Milliseconds(1400);
  /// A report that has not been repeated for this time is not used.
  static constexpr absl::Duration kMaxReportAge = absl::Seconds(9);
  /// Interval at which unchanged reports are repeated.
  static constexpr absl::Duration kRepeatInterval = absl::Seconds(3);
  /// Time for which a report is extrapolated at most.
  static constexpr absl::Duration kMaxExtrapolation = absl::Milliseconds(400);
  /// Standard deviations by which the rate is lower in that extrapolation.
  static constexpr double kRateDeviations = 2;
  /// Change of the tokens, relative to the capacity, and of the rate that is
  /// reported.
  static constexpr double kReportedTokenChange = 0.2;
  static constexpr double kReportedRateChange = 0.3;
  /// Time for which no tokens accrue in a new holder, because the others may
  /// not know yet that there is one more holder.
  static constexpr absl::Duration kNewHolderDelay = absl::Seconds(2);
  /// Part of the requests that may run beyond the rate, which all holders
  /// together can hold as tokens. The rest covers short differences between the
  /// instances' views of the holders, and tokens of other instances.
  static constexpr double kHeldRatio = 0.9;
  /// Capacity of an instance that is no holder, relative to a holder.
  static constexpr double kOtherCapacityRatio = 1.0 / 3;
  /// Limits of the time after which a refused caller is asked to return.
  static constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(100);
  static constexpr absl::Duration kMaxRetryAfter = absl::Seconds(2);
  /// Time over which the return of refused callers is spread at most.
  static constexpr absl::Duration kMaxRetrySpread = absl::Seconds(1);

  /// \brief Whether a request is within the quota of its account.
  struct Decision {
    bool is_admitted = true;
    absl::Duration retry_after;  ///< If not admitted.
    double tokens = 0;           ///< Tokens at this instance afterwards.
    /// Age of the oldest report of another instance that is in use.
    absl::Duration report_age;
  };

  /// \brief A message to another instance.
  struct Outgoing {
    Endpoint receiver;
    QuotaMessage message;
  };

  AccountQuotas(std::string self, int64_t incarnation, uint64_t seed);

  void SetBound(const QuotaBound& bound) { bound_ = bound; }
  void SetRules(const QuotaRules& rules) { rules_ = rules; }

  /// \brief Replaces the accounts by those of a configuration. Accounts without
  /// a quota are ignored.
  void SetAccounts(
      absl::Span<const std::shared_ptr<const ClientAccount>> accounts,
      absl::Time now);

  /// \param instances all instances that are announced or heard of, live or
  /// not, including this one. \param was_announced whether an earlier process
  /// of this instance was announced, so that the others count it already.
  void SetInstances(std::vector<InstanceRecord> instances,
                    bool was_announced,
                    absl::Time now);

  /// \brief Decides about a new request, and takes a token if it is admitted.
  Decision Admit(const ClientAccount& account, absl::Time now);
  /// \brief Takes a token for a further attempt of a request that may have run
  /// before.
  void ChargeAttempt(const ClientAccount& account, absl::Time now);
  /// \brief Returns the token of an admitted request that did not run.
  void Refund(const ClientAccount& account, absl::Time now);

  std::vector<Outgoing> DueMessages(absl::Time now);
  /// \returns false if the message is not newer than the last message of its
  /// sender, or comes from an unknown instance.
  bool OnMessage(const QuotaMessage& message, absl::Time now);

  bool is_in_use() const { return !accounts_.empty(); }
  size_t holder_count() const { return holders_.size(); }
  /// \returns whether tokens accrue at this instance.
  bool is_holder() const { return holders_.Contains(self_); }

  /// \returns the key that identifies an account in messages.
  static uint32_t AccountKey(absl::string_view name) {
    return static_cast<uint32_t>(base::StableHash(name));
  }

 private:
  struct Account {
    AccountQuota quota;
    TokenBucket bucket;
    ArrivalRate arrivals;
    ArrivalRate refusals;
    AccountReport last_report;
    absl::Time reported_at = absl::InfinitePast();
  };

  struct ReceivedReport {
    double rate_per_s = 0;
    double tokens = 0;
    absl::Time received_at;
  };

  struct Peer {
    Endpoint endpoint;
    bool is_holder = false;
    int64_t incarnation = 0;
    uint64_t last_sequence = 0;
    absl::Time last_received_at = absl::InfinitePast();
    absl::Time last_sent_at = absl::InfinitePast();
    absl::flat_hash_map<uint32_t, ReceivedReport> reports;  ///< By account key.
    std::vector<TokenGrant> grants;  ///< To be sent with the next message.
  };

  /// \returns an interval that is longer in a fleet with many holders.
  absl::Duration Scaled(absl::Duration interval) const;
  /// \returns the fraction of the rate that accrues here.
  double BaseShare(absl::Time now) const;
  double Capacity(const AccountQuota& quota, bool is_holder) const;
  void UpdateBucket(Account* account, absl::Time now);
  absl::Duration RetryAfter(Account* account, absl::Time now);
  /// \returns the tokens of the sender of a report after the requests that have
  /// probably arrived there since.
  double ExpectedTokens(const ReceivedReport& report,
                        const AccountQuota& quota,
                        absl::Time now) const;
  /// \brief Moves surplus tokens of the account to the grants of the peers.
  void PlanGrants(uint32_t key, Account* account, absl::Time now);
  /// \returns the reports that have changed or must be repeated.
  std::vector<AccountReport> TakeReports(absl::Time now);
  void UpdatePeerHolders();
  /// \returns whether this instance holds or uses tokens.
  bool TakesPart(absl::Time now);

  std::string self_;
  int64_t incarnation_;
  base::Random random_;
  QuotaBound bound_;
  QuotaRules rules_;
  absl::flat_hash_map<uint32_t, Account> accounts_;  ///< By AccountKey().
  std::map<std::string, Peer, std::less<>> peers_;   ///< By name.
  /// Instances in which tokens accrue. The bound can be exceeded by a partition
  /// that lasts longer than HolderSet::kDepartedTime and the lease of the
  /// records together.
  HolderSet holders_;
  absl::Time accrues_from_ = absl::InfiniteFuture();
  absl::Time planned_at_ = absl::InfinitePast();
  uint64_t sequence_ = 0;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_ACCOUNT_QUOTAS_H_
