#ifndef CONTROL_SRC_ALLOTMENTS_H_
#define CONTROL_SRC_ALLOTMENTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "control/src/action.h"
#include "control/src/allotment_planner.h"
#include "control/src/allotment_table.h"
#include "control/src/backoff.h"
#include "control/src/drain_check.h"
#include "control/src/identity.h"
#include "control/src/store.h"
#include "model/model.h"

namespace baobabwall::control {

/// If a process was suspended for longer than this time, it must write the
/// table before it uses its shares again. The value is half of
/// kUnlistedHolderTimeout, so that the other half remains for the instance list
/// to name the instance again.
/// \sa Allotments
inline constexpr absl::Duration kMaxPauseWithoutConfirmation =
    absl::Seconds(15);

/// A holder expires if up-to-date instance lists were read for this time and
/// none of these lists named the holder.
inline constexpr absl::Duration kUnlistedHolderTimeout = absl::Seconds(30);

/// Percentage of a link's bandwidth that is reserved for traffic other than
/// relayed requests.
inline constexpr int kLinkReservePercent = 20;

/// Window over which a link budget is counted: budgets are in bytes/s.
inline constexpr absl::Duration kLinkBudgetWindow = absl::Seconds(1);

/// \returns the holder name of one incarnation of an instance.
std::string HolderName(const steer::InstanceId& id);

/// \returns the number of requests per window that the cap allows to be moved
/// out of its region.
int64_t MaxMovedRequestsPerWindow(const model::Configuration& configuration,
                                  const model::Cap& cap);

/// \returns the bandwidth of a link in one direction in bytes/s, without the
/// reserve.
int64_t UsableLinkBytesPerSecond(const model::Link& link);

/// \brief State of one other instance of the zone, as last received.
struct AllotmentMember {
  Identity identity;  ///< Includes the incarnation of the instance.
  bool is_alive = true;
  bool is_leaving = false;
  int64_t acknowledged_epoch = 0;
  std::map<std::string, double, std::less<>> utilisation;
};

/// \brief Switches of the safety rules of Allotments. Tests disable single
/// rules to prove that the test oracle detects the missing rule.
struct AllotmentRules {
  PlannerRules planner;
  bool limit_use_to_target = true;
  bool check_use_before_acknowledgement = true;
  bool acknowledge_after_usage_report = true;
  bool release_after_window = true;
  bool reclaim_only_if_unlisted = true;
  bool reclaim_after_grace_period = true;
  bool confirm_after_pause = true;
  bool ignore_older_epochs = true;
  bool scale_lowered_totals = true;
  bool reject_stale_inputs = true;
  bool compare_with_read_revision = true;
};

/// \brief Reads, writes and applies the allotment table of the zone for one
/// instance.
///
/// Computes how much this instance may use, acknowledges epochs, and writes the
/// next table when the rank of this instance allows a write. Safety depends on
/// compare-and-swap and on the rules of the table only, never on the rank of
/// the writer.
///
/// If a process did not run for longer than kMaxPauseWithoutConfirmation, the
/// platform may have removed the instance from its list and other instances may
/// have received its shares. The instance therefore uses nothing until a
/// compare-and-swap has stored a table that counts one more confirmation of
/// this holder. Only a successful compare-and-swap proves that the table was
/// the newest one. The changed confirmation count restarts the timeout of every
/// instance that is about to expire this holder.
class Allotments {
 public:
  class Builder {
   public:
    Builder(Identity self, std::function<StoreCallId()> next_call_id)
        : self_(std::move(self)), next_call_id_(std::move(next_call_id)) {}

    Builder& Rules(AllotmentRules rules);
    /// \brief Sets the function that returns the observed slots in use when a
    /// drain is decided.
    Builder& ServiceUseHook(std::function<ServiceUse()> service_use);
    std::unique_ptr<Allotments> Build() const;

   private:
    friend class Allotments;

    Identity self_;
    std::function<StoreCallId()> next_call_id_;
    AllotmentRules rules_;
    std::function<ServiceUse()> service_use_ = [] { return ServiceUse(); };
  };

  /// \brief Detects pauses of the process; must be called before any event is
  /// handled.
  /// \param now must come from a clock that does not jump; a step back counts
  /// as a long pause.
  void Observe(absl::Time now);

  void OnTick(absl::Time now, Actions* actions);

  /// \returns true if the answer belonged to a call of this object.
  bool OnStoreAnswer(const StoreAnswer& answer,
                     absl::Time now,
                     Actions* actions);

  /// \brief Handles the newest table, sent by a reader of the zone.
  void OnTableUpdate(const AllotmentUpdate& update);

  void OnConfiguration(
      std::shared_ptr<const model::Configuration> configuration);

  /// \param members the other instances of the zone, including dead ones.
  void OnMembersChanged(std::vector<AllotmentMember> members, absl::Time now);

  /// \brief Handles the newest epoch that an instance has acknowledged.
  void OnHeartbeat(const steer::InstanceId& sender,
                   int64_t acknowledged_epoch,
                   absl::Time now);

  /// \brief Handles an instance list that was read successfully. A failed read
  /// of the list causes no event.
  void OnList(const InstanceList& list, absl::Time now);

  /// \brief Handles the slots in use, which the traffic threads report after
  /// OnPublished().
  void OnSlotsInUse(std::map<std::string, int, std::less<>> slots_in_use);

  /// \brief Records that the current shares were published to the traffic
  /// threads.
  void OnPublished();

  /// \brief Starts the shutdown of this instance. The instance keeps its shares
  /// for one lookup time-to-live.
  void OnLeaving(absl::Time now);

  /// \returns the number of slots of the backend server that this instance may
  /// use.
  int64_t SlotShare(absl::string_view backend_server) const;
  /// \returns the number of moved requests per window that this instance may
  /// admit, by name of the cap.
  std::map<std::string, int64_t, std::less<>> MovedShares() const;
  /// \returns the bytes/s that this instance may send out of its own region, by
  /// name of the link.
  std::map<std::string, int64_t, std::less<>> LinkShares() const;

  /// \returns true if a started drain covers the backend server.
  bool IsDraining(const model::BackendServer& server) const;
  /// \returns true if a drain of the instance has started.
  bool IsInstanceDraining(absl::string_view name) const;
  /// \returns the names of the drains that have started in this zone.
  std::set<std::string, std::less<>> StartedDrains() const;

  /// \returns the newest epoch whose targets this instance does not exceed.
  int64_t acknowledged_epoch() const { return acknowledged_epoch_; }

  /// \returns true if the shares or the table have changed since the last call.
  bool TakeChange();

  /// \returns false after a long pause until the shares are confirmed.
  bool is_confirmed() const { return is_confirmed_; }
  bool is_table_known() const { return zone_table_.is_known; }
  const AllotmentTable& table() const { return zone_table_.table; }
  const AllotmentTable& split_table() const { return split_table_.table; }
  /// \returns the number of writes that this instance has started, including
  /// failed ones.
  int64_t write_count() const { return write_count_; }

 private:
  explicit Allotments(const Builder& builder);

  enum class WriteKind { kNone, kZone, kSplit, kConfirmation };

  /// \brief One table as last read from the store or received from a reader.
  struct StoredTable {
    std::string key;
    AllotmentTable table;
    /// Revision of the key in the store; 0 if the key is absent.
    int64_t revision = 0;
    bool is_known = false;
    /// True if the stored value cannot be decoded. No instance may overwrite
    /// such a value.
    bool is_unreadable = false;
    StoreCallId read_call_id = 0;
    bool is_read_requested = false;
    /// Time of the next regular read.
    absl::Time next_read_time = absl::InfinitePast();
    absl::Time earliest_retry_time = absl::InfinitePast();
    Backoff backoff = Backoff(absl::Milliseconds(500), absl::Seconds(30));
  };

  /// \brief Records that the instance list does not name a holder: the start of
  /// the absence, and the confirmation count of the holder at that time.
  struct Absence {
    absl::Time absent_since;
    int64_t confirmations = 0;
  };

  void ReadIfDue(StoredTable* stored,
                 absl::Duration interval,
                 absl::Time now,
                 Actions* actions);
  bool HasDiscoveredMembers(absl::Time now) const;
  bool IsReader() const;
  void PushTable(absl::Time now, Actions* actions);
  bool OnReadAnswer(StoredTable* stored,
                    const StoreAnswer& answer,
                    absl::Time now);
  void ApplyReadResult(StoredTable* stored, const StoreAnswer& answer);
  void ApplyTableValue(StoredTable* stored, const StoreKeyValue& key_value);
  void OnWriteAnswer(const StoreAnswer& answer, absl::Time now);
  void StartWrite(WriteKind kind,
                  const StoredTable& stored,
                  const AllotmentTable& next,
                  Actions* actions);
  void Acknowledge();

  int64_t UsageLimit(absl::string_view key) const;
  int64_t ComputeUsageLimit(absl::string_view key,
                            const AllotmentTotal& total) const;
  int64_t DeclaredTotal(absl::string_view key) const;
  absl::Duration RateWindow(absl::string_view key) const;
  absl::Duration GracePeriod(absl::string_view key) const;

  void UpdateRank();
  void RecomputeUsageLimits();
  void UpdateUnlistedHolders(absl::Time now);
  bool IsReplaced(absl::string_view holder) const;
  bool IsExpired(absl::string_view holder,
                 absl::string_view key,
                 absl::Time now) const;
  bool IsAcknowledged(absl::string_view holder,
                      absl::string_view key,
                      const AllotmentShare& share,
                      absl::Time now) const;
  HolderStatus StatusOf(const AllotmentMember& member, absl::Time now) const;
  bool AffectsZone(const model::Drain& drain) const;
  bool DecideDrains(AllotmentTable* next);
  PlanInput ZonePlanInput(absl::Time now) const;
  PlanInput SplitPlanInput() const;
  void PlanIfDue(absl::Time now, Actions* actions);

  Identity self_;
  std::string holder_;
  std::function<StoreCallId()> next_call_id_;
  AllotmentRules rules_;
  base::Random random_;  ///< Source of the retry jitter.
  std::function<ServiceUse()> service_use_;
  std::shared_ptr<const model::Configuration> configuration_ =
      model::Configuration::Empty();

  StoredTable zone_table_;
  StoredTable split_table_;
  absl::Time first_tick_time_ = absl::InfiniteFuture();
  bool is_push_requested_ = false;
  /// When the table was last sent to a holder that has not acknowledged its
  /// epoch.
  std::map<std::string, absl::Time, std::less<>> last_sent_times_;
  WriteKind pending_write_kind_ = WriteKind::kNone;
  StoreCallId pending_write_call_id_ = 0;
  int64_t write_count_ = 0;

  bool is_confirmed_ = true;
  bool has_read_since_pause_ = true;
  StoreCallId call_id_at_pause_ = 0;

  bool is_leaving_ = false;
  absl::Time own_leaving_since_;
  bool has_changes_ = false;
  int64_t published_epoch_ = 0;
  int64_t usage_reported_epoch_ = 0;
  int64_t acknowledged_epoch_ = 0;
  std::map<std::string, int, std::less<>> slots_in_use_;

  std::vector<AllotmentMember> members_;
  int own_rank_ = 0;
  /// Amounts that this instance may use, by key; recomputed when the table or
  /// the configuration changes.
  std::map<std::string, int64_t, std::less<>> usage_limits_;
  int64_t usage_limits_epoch_ = 0;  ///< Epoch of `usage_limits_`.
  std::map<std::string, absl::Time, std::less<>> leaving_since_by_holder_;
  std::set<std::string, std::less<>> listed_names_;
  std::set<std::string, std::less<>> leaving_listed_names_;
  absl::Time last_list_time_ = absl::InfinitePast();
  /// Keyed by holder name.
  std::map<std::string, Absence, std::less<>> unlisted_holders_;
  std::map<std::string, absl::Time, std::less<>> replaced_since_;
  /// When each acknowledged epoch of a holder was first received.
  std::map<std::string, std::map<int64_t, absl::Time>, std::less<>>
      acknowledgement_times_;

  absl::Time last_event_time_ = absl::InfinitePast();
  bool is_plan_requested_ = true;
  absl::Time plan_requested_since_ = absl::InfinitePast();
  absl::Time earliest_plan_time_ = absl::InfinitePast();
  bool has_waiting_drain_ = false;
  absl::Time next_rebalance_time_ = absl::InfinitePast();
};

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_ALLOTMENTS_H_
