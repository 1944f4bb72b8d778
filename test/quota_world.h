#ifndef TEST_QUOTA_WORLD_H_
#define TEST_QUOTA_WORLD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/base.h"
#include "gateway/gateway.h"

namespace baobabwall::gateway {

/// \brief A fleet of AccountQuotas on a virtual clock, connected by a network
/// that loses, delays, reorders and repeats messages. The oracle counts the
/// requests that run in each sliding window.
class QuotaWorld {
 public:
  struct Options {
    uint64_t seed = 1;
    QuotaRules rules;
    absl::Duration min_delay = absl::Milliseconds(1);
    absl::Duration max_delay = absl::Milliseconds(40);
    double loss = 0;
    double repetition = 0;
    /// Maximum time after which a change of the records or of the quotas
    /// reaches an instance.
    absl::Duration max_view_delay = absl::Seconds(1);
    /// Time after which the record of a killed instance disappears.
    absl::Duration lease = absl::Seconds(12);
  };

  /// \brief Requests of one account, as counted by the oracle.
  struct Count {
    int64_t offered = 0;
    int64_t refused = 0;
    /// Of those that a token bucket for the whole fleet admits.
    int64_t inside = 0;
    int64_t refused_inside = 0;
  };

  explicit QuotaWorld(const Options& options);

  /// \returns the index of the new instance.
  size_t AddInstance(const std::string& zone, double cpu_share);
  /// \returns the index of the new account.
  size_t AddAccount(double rate_per_s, double burst);
  /// \brief Starts all instances with complete views and delivers the accounts.
  void Start();

  void SetQuota(size_t account, double rate_per_s, double burst);
  void Kill(size_t instance);
  void Restart(size_t instance);
  /// \brief Removes the record of a killed instance at once.
  void Leave(size_t instance);
  /// \brief Suspends the instance for a time.
  void Freeze(size_t instance, absl::Duration duration);
  /// \brief Cuts the links from the first to the second group of zones, or in
  /// both directions. The records of the second group expire, because the
  /// store is on the side of the first group.
  void Cut(std::function<bool(size_t)> is_cut_off, bool both_directions);
  void Heal();

  /// \brief A new request at an instance.
  /// \returns whether it runs.
  bool Request(size_t account, size_t instance);
  /// \brief A request whose token is returned because no server has run it.
  void RequestWithoutRun(size_t account, size_t instance);
  /// \brief A further attempt of a request that may have run.
  void FurtherAttempt(size_t account, size_t instance);

  /// \brief Advances the clock by one step.
  void Step();

  absl::Time now() const { return now_; }
  size_t instance_count() const { return instances_.size(); }
  bool is_up(size_t instance) const {
    return instances_[instance].quotas != nullptr &&
           now_ >= instances_[instance].frozen_until;
  }
  bool is_holder(size_t instance) const;
  const InstanceRecord& record(size_t i) const { return instances_[i].record; }
  const Count& count(size_t account) const { return accounts_[account].count; }
  /// \brief Sets all counts to zero, and fills the reference buckets.
  void ResetCounts();
  const std::string& violation() const { return violation_; }
  /// \returns the largest part of a bound that was used.
  double max_use() const { return max_use_; }
  base::Random& random() { return random_; }
  int64_t message_bytes() const { return message_bytes_; }
  void CountBytes() { counts_bytes_ = true; }

  static constexpr absl::Duration kStep = absl::Milliseconds(10);
  static constexpr absl::Duration kTickInterval = absl::Milliseconds(50);

 private:
  struct Instance {
    InstanceRecord record;
    std::unique_ptr<AccountQuotas> quotas;  ///< nullptr if not running.
    std::map<std::string, InstanceRecord> view;
    absl::Time frozen_until = absl::InfinitePast();
    /// Time at which the latest change of the store reaches the instance.
    absl::Time last_change_at = absl::InfinitePast();
    /// Changes and messages that arrived while the instance was suspended.
    std::vector<std::function<void()>> held_back;
    int64_t life = 0;
    bool is_cut_off = false;
  };

  struct Account {
    std::shared_ptr<const ClientAccount> account;
    std::deque<absl::Time> runs;
    double bound = 0;
    /// Reference bucket of the whole fleet.
    double reference_tokens = 0;
    absl::Time reference_at;
    Count count;
  };

  void At(absl::Time when, std::function<void()> event);
  /// \brief Runs the event at the instance, after the end of a suspension.
  void Deliver(size_t instance,
               absl::Duration delay,
               std::function<void()> event);
  /// \returns the time until a change that is made now reaches the instance.
  absl::Duration ViewDelay(size_t i);
  void Launch(size_t instance);
  void Publish(const InstanceRecord& record, bool is_present);
  void ApplyView(size_t instance, bool was_announced);
  void SendMessages(size_t instance);
  bool IsLinkUp(size_t from, size_t to) const;
  void RecordRun(Account* account);
  double Bound(const AccountQuota& quota) const;
  std::vector<std::shared_ptr<const ClientAccount>> AccountList() const;

  Options options_;
  QuotaBound bound_;
  base::Random random_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  std::vector<Instance> instances_;
  std::map<std::string, size_t> index_;
  std::vector<Account> accounts_;
  std::map<std::string, InstanceRecord> records_;
  std::multimap<absl::Time, std::function<void()>> events_;
  bool is_cut_ = false;
  bool is_cut_in_both_directions_ = false;
  int64_t cut_count_ = 0;
  std::string violation_;
  double max_use_ = 0;
  int64_t message_bytes_ = 0;
  bool counts_bytes_ = false;
};

}  // namespace baobabwall::gateway

#endif  // TEST_QUOTA_WORLD_H_
