#include "steer/src/placement.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace baobabwall::steer {
namespace internal {

constexpr absl::Duration kMinRetryAfter = absl::Seconds(1);

/// Assumed round-trip times to a zone that has no measurement yet. Each time is
/// twice the one-way delay of section 1.2 in the deployment with the higher
/// delay.
constexpr double kDefaultZoneRoundTripS = 0.010;
constexpr double kDefaultRegionRoundTripS = 0.070;

/// After an instance refused a relay, no request is relayed to the instance for
/// this minimum time. The time is longer than a round trip between regions and
/// shorter than the interval of load reports.
constexpr absl::Duration kMinRefusalBackoff = absl::Milliseconds(200);

/// Below this reported headroom, the probability of choosing an instance
/// decreases with the headroom, so that instances with the same report do not
/// all relay to the same instance at once.
constexpr double kFullProbabilityHeadroom = 0.2;

/// Maximum number of excluded targets. A refused relay costs a round trip;
/// after this number of targets the request is refused, and a later retry of
/// the caller uses newer load reports.
constexpr size_t kMaxExcludedTargets = 3;

/// Estimated size of the request line and headers, in bytes.
constexpr int64_t kHeaderBytes = 512;

/// Assumed size of the first answer of a service, in bytes.
constexpr double kDefaultAnswerBytes = 4096;

constexpr double kNewValueWeight = 0.05;

/// Load reports lag and can be wrong. Their weight is small, so that a report
/// decides only between servers for which this instance counts nearly equal
/// numbers of requests. The weight decreases with the age of the report.
constexpr double kReportWeight = 0.1;
constexpr absl::Duration kReportLifetime = absl::Seconds(5);
constexpr int kMinServerErrorStatus = 500;

/// Weights of one relay in the moving average of the round-trip time to a zone.
/// The weight of a completed relay is lower, because its measured time includes
/// the deviation of its service time from the mean service time. This deviation
/// is larger than most round trips.
constexpr double kRefusedRelayWeight = 0.2;
constexpr double kCompletedRelayWeight = 0.01;

void UpdateMean(double* mean, double value) {
  *mean = *mean == 0 ? value : *mean + kNewValueWeight * (value - *mean);
}

/// \returns true if the target did not receive or did not run the request.
bool IsNotSentOrNotRun(AttemptResult result) {
  return result == AttemptResult::kConnectFailed ||
         result == AttemptResult::kRefused ||
         result == AttemptResult::kCancelled;
}

}  // namespace internal

Placement::Placement(uint64_t seed, PlacementRules rules)
    : rules_(std::move(rules)), random_(seed) {}

void Placement::Publish(std::shared_ptr<const Snapshot> snapshot,
                        absl::Time now) {
  snapshot_ = std::move(snapshot);
  const model::Configuration& configuration = *snapshot_->configuration;
  for (auto& [name, cap] : configuration.caps()) {
    const auto found = moved_windows_.find(name);
    if (found == moved_windows_.end()) {
      moved_windows_.emplace(
          name, MovedRequestWindow{base::SlidingWindow(cap.window)});
      continue;
    }
    MovedRequestWindow& moved = found->second;
    const absl::Duration previous_length = moved.window.length();
    if (previous_length == cap.window) {
      continue;
    }
    const int64_t sum = moved.window.Sum(now);
    moved.window = base::SlidingWindow(cap.window);
    moved.window.Add(now, sum);
    moved.blocked_until =
        std::max(moved.blocked_until, now + cap.window - previous_length);
  }
  for (const auto& [name, link] : configuration.links()) {
    const auto share = snapshot_->link_shares.find(name);
    links_.try_emplace(name, rules_.limits_bulk_to_half)
        .first->second.SetRate(
            share == snapshot_->link_shares.end() ? 0 : share->second, now);
  }
  for (auto& [name, service] : services_) {
    service.backends.clear();
    service.peers.clear();
  }
  for (auto& [name, state] : backends_) {
    state.view = nullptr;
  }
  for (const BackendView& view : snapshot_->backends) {
    BackendState& state = backends_[view.name];
    state.view = &view;
    services_[view.service].backends.push_back(&state);
  }
  for (auto state = backends_.begin(); state != backends_.end();) {
    const bool is_unused =
        state->second.view == nullptr && state->second.in_use == 0;
    state = is_unused ? backends_.erase(state) : std::next(state);
  }
  // Counts the slots per zone and service and the instances per zone, to
  // estimate the number of slots of each instance.
  std::map<std::pair<std::string, std::string>, int> slots;
  for (const auto& [name, server] : configuration.backend_servers()) {
    slots[{server.zone, server.service}] += server.slots;
  }
  std::map<std::string, int> instance_counts;
  for (const InstanceView& instance : snapshot_->instances) {
    instance_counts[instance.zone] += 1;
  }
  std::map<std::pair<std::string, std::string>, PeerState> peers;
  for (const InstanceView& instance : snapshot_->instances) {
    if (instance.id == snapshot_->self) {
      continue;
    }
    for (const auto& [service, utilisation] : instance.utilisation) {
      const auto previous = peers_.find({instance.id.name, service});
      PeerState state =
          previous == peers_.end() ? PeerState() : previous->second;
      if (state.reported_utilisation != utilisation) {
        state.relays_since_report = 0;
      }
      state.reported_utilisation = utilisation;
      state.estimated_slots = std::max(
          1, slots[{instance.zone, service}] / instance_counts[instance.zone]);
      const auto new_entry =
          peers.emplace(std::make_pair(instance.id.name, service), state).first;
      if (!instance.is_leaving && !instance.is_suspect) {
        services_[service].peers.emplace_back(&instance, &new_entry->second);
      }
    }
  }
  peers_ = std::move(peers);
}

int Placement::InUse(absl::string_view backend_server) const {
  const auto found = backends_.find(backend_server);
  return found == backends_.end() ? 0 : found->second.in_use;
}

int Placement::Limit(absl::string_view backend_server) const {
  const auto found = backends_.find(backend_server);
  return found == backends_.end() ? 0 : LimitOf(found->second);
}

int Placement::LimitOf(const BackendState& state) const {
  if (state.view == nullptr || state.view->slot_share <= 0 ||
      (rules_.skips_leaving_servers && state.view->is_leaving) ||
      state.view->health == HealthStatus::kUnhealthy) {
    return 0;
  }
  int limit = state.view->slot_share;
  if (rules_.adapts_limit) {
    limit = state.adaptive_limit.Limit(limit);
  }
  if (rules_.ramps_cold) {
    // The limit is at least one request, because a server that receives no
    // request would not warm up.
    const double ramp = std::clamp(state.view->ramp, 0.0, 1.0);
    limit = std::min(
        limit, std::max(1, static_cast<int>(state.view->slot_share * ramp)));
  }
  return limit;
}

const model::Service* Placement::FindService(absl::string_view service) const {
  const auto found = snapshot_->configuration->services().find(service);
  return found == snapshot_->configuration->services().end() ? nullptr
                                                             : &found->second;
}

bool Placement::IsBulk(absl::string_view service) const {
  const model::Service* found = FindService(service);
  return found != nullptr && found->service_class == model::ServiceClass::kBulk;
}

absl::Duration Placement::RetryAfter(absl::Duration base) {
  return std::max(base, internal::kMinRetryAfter) * (1.0 + random_.Unit());
}

PlacementChoice Placement::Refuse(absl::string_view reason) {
  PlacementChoice choice;
  choice.type = PlacementChoice::Type::kRefuse;
  choice.retry_after = RetryAfter(internal::kMinRetryAfter);
  choice.reason = std::string(reason);
  return choice;
}

absl::Duration Placement::ServiceTime(absl::string_view service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? absl::ZeroDuration()
                                  : absl::Seconds(found->second.mean_latency_s);
}

absl::Duration Placement::ExpectedWait(absl::string_view service,
                                       size_t waiting) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return absl::ZeroDuration();
  }
  int slots = 0;
  for (const BackendState* state : found->second.backends) {
    slots += LimitOf(*state);
  }
  return absl::Seconds(found->second.mean_latency_s *
                       static_cast<double>(waiting + 1) / std::max(1, slots));
}

PlacementChoice Placement::Choose(const PlacementRequest& request,
                                  absl::Time now) {
  PlacementChoice shifted = ChooseShifted(request, now);
  if (shifted.type == PlacementChoice::Type::kTarget) {
    return shifted;
  }
  PlacementChoice choice = ChooseBackend(request, now);
  if (choice.type == PlacementChoice::Type::kTarget || request.is_relayed ||
      !rules_.relays_requests) {
    return choice;
  }
  PlacementChoice relay = ChooseInstance(request, {}, now);
  return relay.type == PlacementChoice::Type::kTarget ? relay : choice;
}

PlacementChoice Placement::ChooseShifted(const PlacementRequest& request,
                                         absl::Time now) {
  const bool is_from_other_region =
      !request.home_region.empty() && request.home_region != snapshot_->region;
  if (!rules_.applies_shifts || request.is_relayed || is_from_other_region ||
      request.is_waiting || !request.excluded_targets.empty()) {
    return {};
  }
  for (const auto& [name, shift] : snapshot_->configuration->shifts()) {
    if (shift.service != request.service || shift.from != snapshot_->region) {
      continue;
    }
    int& credit_percent = services_[request.service].shift_credit_percent[name];
    credit_percent += shift.percent;
    if (credit_percent < 100) {
      continue;
    }
    credit_percent -= 100;
    return ChooseInstance(request, shift.to, now);
  }
  return {};
}

PlacementChoice Placement::WaitOrRefuse(const PlacementRequest& request,
                                        absl::Time now) {
  const absl::Duration wait = ExpectedWait(request.service, request.waiting);
  const absl::Duration service_time = ServiceTime(request.service);
  if (rules_.refuses_late && now + wait + service_time > request.deadline) {
    PlacementChoice choice = Refuse("the expected wait exceeds the deadline");
    choice.retry_after = RetryAfter(wait);
    return choice;
  }
  if (rules_.bounds_wait && request.waiting > 0 &&
      wait > std::min(rules_.max_wait_ratio * service_time, rules_.max_wait)) {
    return Refuse("the queue is full");
  }
  PlacementChoice choice;
  choice.type = PlacementChoice::Type::kWait;
  return choice;
}

double Placement::ReportedLoadPenalty(const BackendView& view, absl::Time now) {
  const double freshness =
      1 - absl::FDivDuration(now - view.reported_at, internal::kReportLifetime);
  return internal::kReportWeight * std::clamp(view.reported_load, 0.0, 1.0) *
         std::clamp(freshness, 0.0, 1.0);
}

PlacementChoice Placement::ChooseBackend(const PlacementRequest& request,
                                         absl::Time now) {
  const auto service = services_.find(request.service);
  BackendState* best = nullptr;
  double best_score = 0;
  bool has_usable_server = false;
  if (service != services_.end()) {
    for (BackendState* state : service->second.backends) {
      const int limit = LimitOf(*state);
      if (limit == 0 || request.excluded_targets.count(state->view->name) > 0) {
        continue;
      }
      has_usable_server = true;
      if (rules_.limits_slots && state->in_use >= limit) {
        continue;
      }
      double score = 0;
      if (rules_.backend_score) {
        score = rules_.backend_score({state->in_use, limit, state->last_chosen,
                                      state->adaptive_limit.mean_latency()});
      } else {
        const double mean_latency_s = service->second.mean_latency_s;
        const double server_latency_s =
            absl::ToDoubleSeconds(state->adaptive_limit.mean_latency());
        const double relative_latency =
            mean_latency_s > 0 && server_latency_s > 0
                ? std::clamp(server_latency_s / mean_latency_s, 0.5, 2.0)
                : 1;
        score = relative_latency * (state->in_use + 1) / limit +
                (rules_.randomises ? random_.Unit() * 0.1 : 0) +
                ReportedLoadPenalty(*state->view, now);
      }
      if (best == nullptr || score < best_score) {
        best = state;
        best_score = score;
      }
    }
  }
  if (!has_usable_server) {
    return Refuse("no backend server of the zone can run it");
  }
  if (best == nullptr) {
    return WaitOrRefuse(request, now);
  }
  // Reserves the link bytes first, because bytes can be returned to the budget,
  // but a moved request cannot be removed from the window of its cap.
  const bool crosses_link = request.is_relayed &&
                            !request.home_region.empty() &&
                            request.home_region != snapshot_->region;
  const double answer = service->second.mean_answer_bytes;
  Reservation reservation{request.service, {}, 0, IsBulk(request.service)};
  if (crosses_link &&
      !ReserveLinkBytes(
          &reservation, request.home_region,
          static_cast<int64_t>(answer > 0 ? answer
                                          : internal::kDefaultAnswerBytes),
          now)) {
    return Refuse("the link's share of bytes is used up");
  }
  if (!AdmitMovedRequest(request, now)) {
    AdjustReservation(reservation, -reservation.bytes, now);
    return Refuse("the cap on moved traffic is reached");
  }
  ++best->in_use;
  best->last_chosen = last_choice_ + 1;
  return MakeTargetChoice({Target::Type::kBackendServer, best->view->name,
                           best->view->address, best->view->port},
                          std::move(reservation));
}

PlacementChoice Placement::MakeTargetChoice(Target target,
                                            Reservation reservation) {
  PlacementChoice choice;
  choice.type = PlacementChoice::Type::kTarget;
  choice.target = std::move(target);
  choice.target.reservation = ++last_choice_;
  reservations_.emplace(last_choice_, std::move(reservation));
  return choice;
}

std::vector<Placement::Peer> Placement::PeersWithHeadroom(
    const PlacementRequest& request,
    absl::string_view only_region,
    absl::Time now) {
  std::vector<Peer> peers;
  const auto service = services_.find(request.service);
  if (service == services_.end()) {
    return peers;
  }
  for (const auto& [view, peer_state] : service->second.peers) {
    const InstanceView& instance = *view;
    PeerState& state = *peer_state;
    if (request.excluded_targets.count(instance.id.name) > 0 ||
        (!only_region.empty() && instance.region != only_region)) {
      continue;
    }
    if (rules_.backs_off_after_refusal && now < state.backoff_until) {
      continue;
    }
    const double utilisation =
        state.reported_utilisation +
        static_cast<double>(state.relays_since_report) / state.estimated_slots;
    const double headroom = 1 - utilisation;
    if (headroom <= 0 ||
        (rules_.randomises &&
         random_.Unit() * internal::kFullProbabilityHeadroom > headroom)) {
      continue;
    }
    peers.push_back(
        {&instance, &state, utilisation + 1.0 / state.estimated_slots});
  }
  return peers;
}

double Placement::RoundTrip(absl::string_view zone,
                            absl::string_view region) const {
  const auto measured = zones_.find(zone);
  if (measured != zones_.end() && measured->second.round_trip_s > 0) {
    return measured->second.round_trip_s;
  }
  if (zone == snapshot_->zone) {
    return 0;
  }
  return region == snapshot_->region ? internal::kDefaultZoneRoundTripS
                                     : internal::kDefaultRegionRoundTripS;
}

double Placement::ZoneScore(const model::Service& service,
                            const std::vector<const Peer*>& peers,
                            absl::Time now) {
  double utilisation = 0;
  for (const Peer* peer : peers) {
    utilisation += peer->utilisation / static_cast<double>(peers.size());
  }
  const InstanceView& first_instance = *peers.front()->view;
  const model::Link* link = FindLinkTo(first_instance.region);
  const double link_use =
      link == nullptr ? 0 : links_.find(link->name)->second.UsedFraction(now);
  if (service.policy == model::PlacementPolicy::kHeadroom) {
    // A link with little budget left has the same effect as a busy zone.
    return std::max(utilisation, link_use);
  }
  const double service_time_s =
      absl::ToDoubleSeconds(ServiceTime(service.name));
  return RoundTrip(first_instance.zone, first_instance.region) *
             (1 + link_use) +
         service_time_s * (1 + utilisation * utilisation);
}

PlacementChoice Placement::ChooseInstance(const PlacementRequest& request,
                                          absl::string_view only_region,
                                          absl::Time now) {
  const model::Service* service = FindService(request.service);
  if (service == nullptr ||
      request.excluded_targets.size() >= internal::kMaxExcludedTargets) {
    return Refuse("no instance has room");
  }
  const std::vector<Peer> peers = PeersWithHeadroom(request, only_region, now);
  // Searches this instance's zone, then the other zones of the region, then the
  // other regions. Stops as soon as a level has a suitable instance.
  for (int level = 0; level < 3; ++level) {
    std::map<std::string, std::vector<const Peer*>> peers_by_zone;
    for (const Peer& peer : peers) {
      const int distance = peer.view->zone == snapshot_->zone       ? 0
                           : peer.view->region == snapshot_->region ? 1
                                                                    : 2;
      if (distance == level) {
        peers_by_zone[peer.view->zone].push_back(&peer);
      }
    }
    std::vector<std::pair<std::string, double>> scores;
    for (const auto& [zone, members] : peers_by_zone) {
      scores.emplace_back(zone, ZoneScore(*service, members, now));
    }
    if (scores.empty()) {
      continue;
    }
    const std::string zone = services_[request.service].zone_choice.Choose(
        scores, rules_.uses_hysteresis);
    const std::vector<const Peer*>& members = peers_by_zone[zone];
    const Peer* chosen =
        members[rules_.randomises ? random_.Below(members.size()) : 0];
    if (rules_.randomises) {
      const Peer* other = members[random_.Below(members.size())];
      chosen = other->utilisation < chosen->utilisation ? other : chosen;
    } else {
      for (const Peer* member : members) {
        chosen = member->utilisation < chosen->utilisation ? member : chosen;
      }
    }
    // Waits for a slot of this instance if the expected wait is shorter than a
    // round trip.
    const auto own = services_.find(request.service);
    const bool can_wait = only_region.empty() &&
                          own->second.mean_latency_s > 0 &&
                          !own->second.backends.empty();
    if (can_wait &&
        absl::ToDoubleSeconds(ExpectedWait(request.service, request.waiting)) <
            RoundTrip(zone, chosen->view->region) &&
        WaitOrRefuse(request, now).type == PlacementChoice::Type::kWait) {
      return Refuse("waiting is faster");
    }
    Reservation reservation{request.service, {}, 0, IsBulk(request.service)};
    if (level == 2 &&
        !ReserveLinkBytes(&reservation, chosen->view->region,
                          request.body_bytes + internal::kHeaderBytes, now)) {
      continue;
    }
    ++chosen->state->relays_since_report;
    return MakeTargetChoice({Target::Type::kInstance, chosen->view->id.name,
                             chosen->view->address, chosen->view->caller_port},
                            std::move(reservation));
  }
  return Refuse("no instance has room");
}

const model::Link* Placement::FindLinkTo(absl::string_view region) const {
  if (region == snapshot_->region) {
    return nullptr;
  }
  for (const auto& [name, link] : snapshot_->configuration->links()) {
    if ((link.a == region && link.b == snapshot_->region) ||
        (link.b == region && link.a == snapshot_->region)) {
      return &link;
    }
  }
  return nullptr;
}

bool Placement::ReserveLinkBytes(Reservation* reservation,
                                 absl::string_view region,
                                 int64_t bytes,
                                 absl::Time now) {
  const model::Link* link = FindLinkTo(region);
  if (!rules_.budgets_links || link == nullptr) {
    return true;
  }
  if (!links_.find(link->name)
           ->second.TryTake(bytes, reservation->is_bulk, now)) {
    return false;
  }
  reservation->link = link->name;
  reservation->bytes = bytes;
  return true;
}

void Placement::AdjustReservation(const Reservation& reservation,
                                  int64_t bytes,
                                  absl::Time now) {
  const auto link = links_.find(reservation.link);
  if (link != links_.end()) {
    link->second.AdjustBytes(bytes, reservation.is_bulk, now);
  }
}

bool Placement::AdmitMovedRequest(const PlacementRequest& request,
                                  absl::Time now) {
  if (!rules_.caps_moved || request.home_region.empty() ||
      request.home_region == snapshot_->region) {
    return true;
  }
  std::vector<MovedRequestWindow*> windows;
  for (const auto& [name, cap] : snapshot_->configuration->caps()) {
    if (cap.region != request.home_region) {
      continue;
    }
    const auto share = snapshot_->moved_shares.find(name);
    const int64_t limit =
        share == snapshot_->moved_shares.end() ? 0 : share->second;
    MovedRequestWindow& moved = moved_windows_.find(name)->second;
    if (now < moved.blocked_until || moved.window.Sum(now) + 1 > limit) {
      return false;
    }
    windows.push_back(&moved);
  }
  for (MovedRequestWindow* moved : windows) {
    moved->window.Add(now, 1);
  }
  return true;
}

void Placement::RecordRoundTrip(const InstanceView& instance,
                                const std::string& service,
                                AttemptResult result,
                                absl::Duration latency) {
  const double seconds = absl::ToDoubleSeconds(latency);
  double value = 0;
  double weight = 0;
  if (result == AttemptResult::kRefused) {
    // A refusal is immediate, so its latency is the round trip.
    value = seconds;
    weight = internal::kRefusedRelayWeight;
  } else if (result == AttemptResult::kCompleted) {
    // Negative values are kept: clamping to 0 would bias the average upwards.
    value = seconds - absl::ToDoubleSeconds(ServiceTime(service));
    weight = internal::kCompletedRelayWeight;
  } else {
    return;
  }
  double& round_trip = zones_[instance.zone].round_trip_s;
  if (round_trip == 0) {
    round_trip = RoundTrip(instance.zone, instance.region);
  }
  round_trip = std::max(1e-6, round_trip + weight * (value - round_trip));
}

void Placement::Release(const Target& target,
                        AttemptResult result,
                        absl::Duration latency,
                        absl::Time now) {
  AttemptEnd end;
  end.result = result;
  Release(target, end, latency, now);
}

void Placement::Release(const Target& target,
                        const AttemptEnd& end,
                        absl::Duration latency,
                        absl::Time now) {
  auto reservation_entry = reservations_.extract(target.reservation);
  if (reservation_entry.empty()) {
    return;
  }
  const Reservation& reservation = reservation_entry.mapped();
  const std::string& service_name = reservation.service;
  const bool is_completed = end.result == AttemptResult::kCompleted;
  if (internal::IsNotSentOrNotRun(end.result)) {
    AdjustReservation(reservation, -reservation.bytes, now);
  } else if (target.type == Target::Type::kBackendServer && is_completed) {
    AdjustReservation(reservation, end.answer_bytes - reservation.bytes, now);
  }
  if (target.type == Target::Type::kInstance) {
    const auto peer = peers_.find({target.name, service_name});
    if (peer != peers_.end()) {
      peer->second.relays_since_report =
          std::max(0, peer->second.relays_since_report - 1);
      if (!is_completed && end.result != AttemptResult::kCancelled) {
        peer->second.backoff_until =
            now + internal::kMinRefusalBackoff * (1.0 + random_.Unit());
      }
    }
    for (const InstanceView& instance : snapshot_->instances) {
      if (instance.id.name == target.name) {
        RecordRoundTrip(instance, service_name, end.result, latency);
      }
    }
    return;
  }
  const auto found = backends_.find(target.name);
  if (found == backends_.end()) {
    return;
  }
  BackendState& state = found->second;
  state.in_use = std::max(0, state.in_use - 1);
  const int share = state.view == nullptr ? 1 : state.view->slot_share;
  if (end.result == AttemptResult::kCancelled) {
    return;
  }
  // Failures are not counted as answers, so that a server that fails quickly
  // does not appear to be fast.
  if (!is_completed || end.status >= internal::kMinServerErrorStatus) {
    state.adaptive_limit.OnFailure(share, now);
    return;
  }
  state.adaptive_limit.OnAnswer(latency, share, now);
  ServiceState& service = services_[service_name];
  internal::UpdateMean(&service.mean_latency_s, absl::ToDoubleSeconds(latency));
  internal::UpdateMean(&service.mean_answer_bytes,
                       static_cast<double>(end.answer_bytes));
}

}  // namespace baobabwall::steer
