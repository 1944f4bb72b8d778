#ifndef STEER_SRC_PLACEMENT_H_
#define STEER_SRC_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/base.h"
#include "steer/src/action.h"
#include "steer/src/adaptive_limit.h"
#include "steer/src/event.h"
#include "steer/src/hysteresis.h"
#include "steer/src/link_budget.h"
#include "steer/src/placement_rules.h"
#include "steer/src/snapshot.h"

namespace baobabwall::steer {

/// \brief Properties of a request that determine its placement.
struct PlacementRequest {
  std::string service;
  /// Empty (unknown) counts as the region of this instance.
  std::string home_region;
  bool is_relayed = false;  ///< A relayed request is not relayed again.
  std::set<std::string> excluded_targets;  ///< Names of targets not to choose.
  absl::Time deadline;
  size_t waiting = 0;  ///< Number of the service's requests ahead in the queue.
  int64_t body_bytes = 0;   ///< Size of the body; 0 if unknown.
  bool is_waiting = false;  ///< The request is already in the queue.
};

/// \brief Result of placement: a target, or the decision to wait or refuse.
struct PlacementChoice {
  enum class Type { kTarget, kWait, kRefuse };
  Type type = Type::kRefuse;
  /// Set if the type is kTarget; one slot of the target is reserved.
  Target target;
  absl::Duration retry_after;  ///< Set for kRefuse.
  std::string reason;          ///< Set for kRefuse.
};

/// \brief Chooses targets for requests and counts the slots in use.
///
/// \sa Snapshot for the shares that limit the choice
class Placement {
 public:
  explicit Placement(uint64_t seed, PlacementRules rules = {});
  Placement(const Placement&) = delete;
  Placement& operator=(const Placement&) = delete;

  void Publish(std::shared_ptr<const Snapshot> snapshot, absl::Time now);

  /// \brief Chooses a target and reserves one of its slots. If the request or
  /// its answer crosses a link, bytes of the link are reserved too.
  PlacementChoice Choose(const PlacementRequest& request, absl::Time now);

  /// \brief Releases the reservation that Choose() made for a target.
  /// \param end end of the attempt; only its result, status and answer_bytes
  /// are used.
  void Release(const Target& target,
               const AttemptEnd& end,
               absl::Duration latency,
               absl::Time now);
  void Release(const Target& target,
               AttemptResult result,
               absl::Duration latency,
               absl::Time now);

  /// \returns the number of slots in use at a backend server.
  int InUse(absl::string_view backend_server) const;

  /// \returns the maximum number of requests that this instance can have in
  /// flight at a backend server: the slot share after slow start and adaptive
  /// limit.
  int Limit(absl::string_view backend_server) const;

  /// \returns the expected time until a slot is free for a request with
  /// `waiting` requests of its service ahead; zero without any measurement.
  absl::Duration ExpectedWait(absl::string_view service, size_t waiting) const;

  /// \returns the mean latency of the service's backend servers.
  absl::Duration ServiceTime(absl::string_view service) const;

  /// \returns `base` (at least one second) plus a random jitter of up to 100%,
  /// so that refused callers do not all retry at the same time.
  absl::Duration RetryAfter(absl::Duration base);

  const PlacementRules& rules() const { return rules_; }

 private:
  struct BackendState {
    int in_use = 0;
    uint64_t last_chosen = 0;
    AdaptiveLimit adaptive_limit;
    const BackendView* view = nullptr;  ///< nullptr if not in the snapshot.
  };

  /// Resources that an attempt holds until Release().
  struct Reservation {
    std::string service;
    std::string link;  ///< Empty if no bytes were reserved.
    int64_t bytes = 0;
    bool is_bulk = false;
  };

  /// Load of another instance: its last report, and the relays that this
  /// instance has started since that report.
  struct PeerState {
    double reported_utilisation = -1;  ///< Last reported utilisation.
    int relays_since_report = 0;       ///< Number of relays since that report.
    int estimated_slots = 0;  ///< Estimated share of the slots of the service.
    absl::Time backoff_until = absl::InfinitePast();
  };

  struct ServiceState {
    std::vector<BackendState*> backends;
    /// Instances that report a utilisation, are not leaving and are not
    /// suspected to be dead.
    std::vector<std::pair<const InstanceView*, PeerState*>> peers;
    double mean_latency_s = 0;     ///< Mean latency of this instance's servers.
    double mean_answer_bytes = 0;  ///< Mean size of an answer.
    Hysteresis zone_choice;        ///< Zone to which requests are relayed.
    /// Accumulated percentage for each shift, by name of the shift.
    std::map<std::string, int> shift_credit_percent;
  };

  struct Peer {
    const InstanceView* view;
    PeerState* state;
    double utilisation;  ///< Expected utilisation after one more request.
  };

  /// Measured round-trip time to a zone, without the service time.
  struct ZoneState {
    double round_trip_s = 0;  ///< 0 if not measured yet.
  };

  struct MovedRequestWindow {
    base::SlidingWindow window;
    /// After the window was lengthened, no request is admitted until this time.
    /// By then, the requests that the shorter window had already dropped are
    /// also older than the longer window.
    absl::Time blocked_until = absl::InfinitePast();
  };

  int LimitOf(const BackendState& state) const;
  static double ReportedLoadPenalty(const BackendView& view, absl::Time now);
  PlacementChoice ChooseBackend(const PlacementRequest& request,
                                absl::Time now);
  PlacementChoice ChooseInstance(const PlacementRequest& request,
                                 absl::string_view only_region,
                                 absl::Time now);
  PlacementChoice ChooseShifted(const PlacementRequest& request,
                                absl::Time now);
  std::vector<Peer> PeersWithHeadroom(const PlacementRequest& request,
                                      absl::string_view only_region,
                                      absl::Time now);
  double ZoneScore(const model::Service& service,
                   const std::vector<const Peer*>& peers,
                   absl::Time now);
  void RecordRoundTrip(const InstanceView& instance,
                       const std::string& service,
                       AttemptResult result,
                       absl::Duration latency);
  double RoundTrip(absl::string_view zone, absl::string_view region) const;
  PlacementChoice WaitOrRefuse(const PlacementRequest& request, absl::Time now);
  bool AdmitMovedRequest(const PlacementRequest& request, absl::Time now);
  PlacementChoice MakeTargetChoice(Target target, Reservation reservation);
  bool ReserveLinkBytes(Reservation* reservation,
                        absl::string_view region,
                        int64_t bytes,
                        absl::Time now);
  void AdjustReservation(const Reservation& reservation,
                         int64_t bytes,
                         absl::Time now);
  const model::Link* FindLinkTo(absl::string_view region) const;
  bool IsBulk(absl::string_view service) const;
  const model::Service* FindService(absl::string_view service) const;
  PlacementChoice Refuse(absl::string_view reason);

  PlacementRules rules_;
  std::shared_ptr<const Snapshot> snapshot_ = std::make_shared<Snapshot>();
  std::map<std::string, BackendState, std::less<>> backends_;
  std::map<std::string, ServiceState, std::less<>> services_;
  std::map<std::pair<std::string, std::string>, PeerState> peers_;
  std::map<std::string, ZoneState, std::less<>> zones_;
  std::map<std::string, MovedRequestWindow, std::less<>> moved_windows_;
  std::map<std::string, LinkBudget, std::less<>> links_;
  absl::flat_hash_map<uint64_t, Reservation> reservations_;
  uint64_t last_choice_ = 0;
  base::Random random_;
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_PLACEMENT_H_
