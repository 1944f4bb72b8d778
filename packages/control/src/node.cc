#include "control/src/node.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "control/src/reader_rank.h"
#include "control/src/utilisation.h"

namespace baobabwall::control {
namespace internal {

constexpr absl::Duration kInstanceListInterval = absl::Seconds(5);
constexpr absl::Duration kSnapshotWriterCheckInterval = absl::Seconds(1);
constexpr absl::Duration kPeerComparisonTimeout = absl::Seconds(1);
// Hash salt for ranking the best readers of all zones.
constexpr absl::string_view kSnapshotRankSalt = "snapshot";
constexpr absl::Duration kAllotmentMembersInterval = absl::Seconds(1);
// Weight of a new sample in the moving average. A tick is 100 ms, so the
// average covers about one second.
constexpr double kUtilisationSmoothingFactor = 0.1;
// Maximum duration of a quarantine. If the clock of an instance is wrong, the
// instance could otherwise request a longer quarantine.
constexpr absl::Duration kMaxQuarantineDuration = absl::Minutes(10);

absl::Duration MaxLookupTtl(const model::Configuration& configuration) {
  absl::Duration max_ttl = absl::ZeroDuration();
  for (const auto& [name, service] : configuration.services()) {
    max_ttl = std::max(max_ttl, service.lookup_ttl);
  }
  return max_ttl;
}

steer::InstanceView ToInstanceView(const Identity& identity) {
  steer::InstanceView view;
  view.id = identity.id;
  view.zone = identity.zone;
  view.region = identity.region;
  view.address = identity.address;
  view.caller_port = identity.caller_port;
  return view;
}

}  // namespace internal

Node::Builder& Node::Builder::Seed(uint64_t seed) {
  seed_ = seed;
  return *this;
}

Node::Builder& Node::Builder::Peers(std::vector<Identity> peers) {
  peers_ = std::move(peers);
  return *this;
}

Node::Builder& Node::Builder::Snapshots(SnapshotPolicy policy) {
  snapshot_policy_ = policy;
  return *this;
}

std::unique_ptr<Node> Node::Builder::Build() {
  return std::make_unique<Node>(identity_, seed_, peers_, snapshot_policy_);
}

Node::Node(Identity identity,
           uint64_t seed,
           std::vector<Identity> peers,
           SnapshotPolicy policy)
    : identity_(std::move(identity)),
      random_(seed),
      membership_(identity_, std::move(peers), seed + 1),
      config_log_([this] { return ++last_store_call_id_; }, seed + 2),
      store_reader_(
          identity_,
          &config_log_,
          &membership_,
          [this] { return ++last_store_call_id_; },
          seed + 4),
      snapshot_store_(
          &config_log_,
          policy,
          [this] { return ++last_store_call_id_; },
          seed + 5),
      distribution_(identity_, &config_log_, &membership_),
      zone_status_tracker_(identity_, &membership_),
      allotments_(Allotments::Builder(identity_,
                                      [this] { return ++last_store_call_id_; })
                      .ServiceUseHook([this] { return ObservedServiceUse(); })
                      .Build()),
      backend_health_(
          steer::BackendHealth::Builder().Seed(seed + 6).Build(nullptr)) {
  config_log_.SetRevisionHook([this](EntrySource source, int64_t first,
                                     absl::Time now, Actions* actions) {
    distribution_.Push(source, first, now, actions);
  });
}

Actions Node::Handle(const Event& event, absl::Time now) {
  Actions actions;
  allotments_->Observe(now);
  if (pause_detector_.Observe(now)) {
    OnPause(now, &actions);
  }
  std::visit([&](const auto& value) { OnEvent(value, now, &actions); }, event);
  allotments_->OnConfiguration(config_log_.configuration());
  if (allotments_->TakeChange()) {
    is_publish_pending_ = true;
  }
  if (membership_.TakeChange()) {
    is_publish_pending_ = true;
  }
  if (config_log_.revision() != published_revision_) {
    backend_health_->SetServers(configuration(), identity_.zone, now);
  }
  is_publish_pending_ = backend_health_->OnTick(now) || is_publish_pending_;
  if (is_publish_pending_ || config_log_.revision() != published_revision_) {
    Publish(now, &actions);
  }
  return actions;
}

void Node::OnPause(absl::Time now, Actions* actions) {
  freshness_.OnPause(now);
  membership_.OnPause(now);
  membership_.SetHeartbeat(OwnHeartbeat());
  membership_.ProbeSeveralMembers(now, actions);
  is_publish_pending_ = true;
}

void Node::CheckFreshness(absl::Time now, Actions* actions) {
  if (freshness_.is_fresh()) {
    return;
  }
  if (config_log_.last_full_read_sent() >= freshness_.resume_time()) {
    freshness_.OnCompared(config_log_.revision());
  }
  // An instance that is not a reader waits for an answer of a peer first, and
  // reads the store only after a timeout.
  const bool is_store_read_allowed =
      store_reader_.is_reader() || membership_.is_alone() ||
      now - freshness_.resume_time() > internal::kPeerComparisonTimeout;
  if (is_store_read_allowed &&
      config_log_.last_full_read_sent() < freshness_.resume_time()) {
    config_log_.ReadStore(now, actions);
  }
  if (freshness_.Update(config_log_.revision(), membership_.is_alone(), now)) {
    is_publish_pending_ = true;
  }
}

bool Node::IsSnapshotWriter() const {
  if (!store_reader_.is_reader()) {
    return false;
  }
  std::set<std::string> zones = {identity_.zone};
  for (const auto& [name, member] : membership_.members()) {
    if (member.is_live()) {
      zones.insert(member.identity.zone);
    }
  }
  std::vector<std::string> zone_leaders;
  for (const std::string& zone : zones) {
    zone_leaders.push_back(membership_.RankedInZone(zone).front());
  }
  SortByReaderRank(internal::kSnapshotRankSalt, &zone_leaders);
  return zone_leaders.front() == identity_.id.name;
}

void Node::OnEvent(const Tick& /*event*/, absl::Time now, Actions* actions) {
  for (auto it = quarantine_ends_.begin(); it != quarantine_ends_.end();) {
    it = it->second < now ? quarantine_ends_.erase(it) : std::next(it);
  }
  membership_.SetHeartbeat(OwnHeartbeat());
  membership_.OnTick(now, actions);
  config_log_.OnTick(now, actions);
  store_reader_.OnTick(now, actions);
  if (now >= next_snapshot_writer_check_at_) {
    next_snapshot_writer_check_at_ =
        now + internal::kSnapshotWriterCheckInterval;
    is_snapshot_writer_ = IsSnapshotWriter();
  }
  snapshot_store_.OnTick(is_snapshot_writer_, now, actions);
  distribution_.OnTick(now);
  CheckFreshness(now, actions);
  zone_status_tracker_.OnTick(store_reader_.is_reader(), now, actions);
  UpdateAllotments(now, actions);
  for (const std::string& name : backend_health_->DueProbes(now)) {
    const auto server = configuration().backend_servers().find(name);
    if (server != configuration().backend_servers().end()) {
      actions->push_back(ProbeBackendServer{name, server->second.address,
                                            server->second.port});
    }
  }
  if (now >= next_list_read_at_) {
    next_list_read_at_ = now + internal::kInstanceListInterval;
    actions->push_back(ReadInstanceList());
  }
  if (membership_.is_leaving() && now >= lookup_caches_expire_at_ &&
      !is_shutdown_reported_) {
    is_shutdown_reported_ = true;
    actions->push_back(ShutdownReady());
  }
}

void Node::OnEvent(const StoreAnswer& event, absl::Time now, Actions* actions) {
  if (allotments_->OnStoreAnswer(event, now, actions)) {
    return;
  }
  const bool was_initialized = config_log_.is_initialized();
  if (config_log_.OnStoreAnswer(event, now, actions) ||
      store_reader_.OnStoreAnswer(event, now, actions) ||
      snapshot_store_.OnStoreAnswer(event, now, actions)) {
    is_publish_pending_ =
        is_publish_pending_ || config_log_.is_initialized() != was_initialized;
  }
}

void Node::OnEvent(const PeerMessage& event, absl::Time now, Actions* actions) {
  const bool was_initialized = config_log_.is_initialized();
  membership_.SetHeartbeat(OwnHeartbeat());
  const bool is_own_probe_answered = membership_.OnMessage(event, now, actions);
  const Heartbeat* heartbeat = nullptr;
  if (const auto* ping = std::get_if<Ping>(&event.payload)) {
    heartbeat = &ping->heartbeat;
  } else if (const auto* ack = std::get_if<Ack>(&event.payload)) {
    heartbeat = &ack->heartbeat;
  }
  if (heartbeat != nullptr) {
    distribution_.OnHeartbeat(event.sender, *heartbeat, now, actions);
    if (is_own_probe_answered) {
      freshness_.OnCompared(heartbeat->config_revision);
    }
  }
  distribution_.OnMessage(event, now, actions);
  zone_status_tracker_.OnMessage(event, now, actions);
  CheckFreshness(now, actions);
  is_publish_pending_ =
      is_publish_pending_ || config_log_.is_initialized() != was_initialized;
  if (const auto* update = std::get_if<QuarantineUpdate>(&event.payload)) {
    Quarantine(update->fingerprint,
               std::min(update->until, now + internal::kMaxQuarantineDuration));
  }
  if (const auto* update = std::get_if<AllotmentUpdate>(&event.payload)) {
    allotments_->OnTableUpdate(*update);
  }
  if (const auto* applied = std::get_if<AppliedReport>(&event.payload)) {
    allotments_->OnHeartbeat(event.sender.id,
                             applied->heartbeat.allotment_epoch, now);
  }
}

void Node::OnEvent(const WriteRequested& event,
                   absl::Time now,
                   Actions* actions) {
  WriteRequested request = event;
  if (request.batch.operation_id.empty()) {
    // The generated operation id is unique, so that the outcome of a write can
    // be looked up after a lost answer.
    request.batch.operation_id = absl::StrCat(
        identity_.id.name, ".", identity_.id.incarnation, ".", event.id);
  }
  config_log_.Write(request, now, actions);
}

void Node::OnEvent(const ListRead& event,
                   absl::Time now,
                   Actions* /*actions*/) {
  allotments_->OnList(event.list, now);
  membership_.OnList(event.list);
  for (const ListedBackendServer& server : event.list.backend_servers) {
    backend_health_->OnListEntry(server.name, server.is_leaving, now);
  }
  is_publish_pending_ = true;
  store_reader_.OnList();
}

void Node::OnEvent(const TrafficReported& event,
                   absl::Time /*now*/,
                   Actions* actions) {
  allotments_->OnSlotsInUse(event.slots_in_use);
  if (published_snapshot_ != nullptr) {
    // Other instances receive the utilisation seconds later, so a moving
    // average is more useful than the current value.
    for (const auto& [service, current] : UtilisationByService(
             published_snapshot_->backends, event.slots_in_use)) {
      double& mean =
          mean_utilisation_.try_emplace(service, current).first->second;
      mean += internal::kUtilisationSmoothingFactor * (current - mean);
    }
  }
  for (const steer::Observation& observation : event.observations) {
    backend_health_->OnObservation(observation);
  }
  for (const steer::QuarantineNotice& notice : event.quarantines) {
    Quarantine(notice.fingerprint, notice.until);
    for (const auto& [name, member] : membership_.members()) {
      if (member.is_live() && member.identity.zone == identity_.zone) {
        actions->push_back(
            SendPeer{member.identity,
                     QuarantineUpdate{notice.fingerprint, notice.until}});
      }
    }
  }
}

void Node::Quarantine(uint64_t fingerprint, absl::Time until) {
  absl::Time& end =
      quarantine_ends_.try_emplace(fingerprint, until).first->second;
  end = std::max(end, until);
  is_publish_pending_ = true;
}

void Node::OnEvent(const ProbeEnded& event,
                   absl::Time now,
                   Actions* /*actions*/) {
  backend_health_->OnProbe(event.backend_server,
                           {event.is_answered, event.is_ready, event.is_leaving,
                            event.reported_load, event.report_age},
                           now);
}

void Node::OnEvent(const ShutdownRequested& /*event*/,
                   absl::Time now,
                   Actions* actions) {
  membership_.AnnounceLeaving(now, actions);
  allotments_->OnLeaving(now);
  lookup_caches_expire_at_ =
      now + internal::MaxLookupTtl(*config_log_.configuration());
}

void Node::UpdateAllotments(absl::Time now, Actions* actions) {
  if (now >= next_members_update_at_) {
    next_members_update_at_ = now + internal::kAllotmentMembersInterval;
    std::vector<AllotmentMember> members;
    for (const auto& [name, peer] : membership_.members()) {
      if (peer.identity.zone != identity_.zone) {
        continue;
      }
      AllotmentMember member;
      member.identity = peer.identity;
      member.is_alive =
          peer.state == MemberState::kLeaving ||
          (peer.state == MemberState::kAlive && !peer.is_suspected_locally);
      member.is_leaving = peer.state == MemberState::kLeaving;
      member.acknowledged_epoch = peer.heartbeat.allotment_epoch;
      member.utilisation = peer.heartbeat.utilisation;
      members.push_back(std::move(member));
    }
    allotments_->OnMembersChanged(std::move(members), now);
  }
  allotments_->OnTick(now, actions);
}

ServiceUse Node::ObservedServiceUse() const {
  // The instances of a zone have similar utilisation, so the mean of the known
  // heartbeats is used for all instances of the zone.
  std::map<std::pair<std::string, std::string>, std::pair<double, int>>
      utilisation_sums;
  const auto add = [&](const std::string& zone, const Heartbeat& heartbeat) {
    for (const auto& [service, utilisation] : heartbeat.utilisation) {
      auto& [sum, count] = utilisation_sums[{zone, service}];
      sum += utilisation;
      ++count;
    }
  };
  add(identity_.zone, OwnHeartbeat());
  for (const auto& [name, member] : membership_.members()) {
    if (member.state == MemberState::kAlive) {
      add(member.identity.zone, member.heartbeat);
    }
  }
  ServiceUse service_use;
  for (const auto& [name, server] :
       config_log_.configuration()->backend_servers()) {
    const auto mean = utilisation_sums.find({server.zone, server.service});
    if (mean != utilisation_sums.end()) {
      service_use[mean->first] +=
          server.slots * mean->second.first / mean->second.second;
    }
  }
  return service_use;
}

Heartbeat Node::OwnHeartbeat() const {
  Heartbeat heartbeat;
  heartbeat.allotment_epoch = allotments_->acknowledged_epoch();
  heartbeat.config_revision =
      config_log_.is_initialized() ? config_log_.revision() : -1;
  heartbeat.utilisation = mean_utilisation_;
  return heartbeat;
}

void Node::Publish(absl::Time now, Actions* actions) {
  auto snapshot = std::make_shared<steer::Snapshot>();
  snapshot->configuration = config_log_.configuration();
  snapshot->self = identity_.id;
  snapshot->zone = identity_.zone;
  snapshot->region = identity_.region;
  snapshot->is_ready = config_log_.is_initialized();
  snapshot->is_admitting = freshness_.is_fresh();
  snapshot->is_leaving = membership_.is_leaving();
  FillInstances(snapshot.get());
  FillBackends(snapshot.get(), now);
  snapshot->quarantined = quarantine_ends_;
  lookup_index_ = steer::LookupIndex::Make(*snapshot, lookup_index_);
  snapshot->lookup_index = lookup_index_;
  snapshot->moved_shares = allotments_->MovedShares();
  snapshot->link_shares = allotments_->LinkShares();
  allotments_->OnPublished();
  // The client blocks are compiled in this thread, so that the traffic threads
  // do not wait for the compilation.
  (void)snapshot->configuration->client_blocks();
  published_revision_ = config_log_.revision();
  is_publish_pending_ = false;
  published_snapshot_ = snapshot;
  actions->push_back(PublishSnapshot{std::move(snapshot)});
}

void Node::FillInstances(steer::Snapshot* snapshot) const {
  std::set<absl::string_view> listed_as_leaving;
  for (const ListedInstance& listed : membership_.list().instances) {
    if (listed.is_leaving) {
      listed_as_leaving.insert(listed.identity.id.name);
    }
  }
  snapshot->instances.push_back(internal::ToInstanceView(identity_));
  snapshot->instances.back().is_leaving =
      membership_.is_leaving() ||
      allotments_->IsInstanceDraining(identity_.id.name);
  snapshot->instances.back().utilisation = membership_.heartbeat().utilisation;
  for (const auto& [name, member] : membership_.members()) {
    if (!member.is_live()) {
      continue;
    }
    steer::InstanceView view = internal::ToInstanceView(member.identity);
    view.is_leaving = member.state == MemberState::kLeaving ||
                      listed_as_leaving.count(name) > 0 ||
                      allotments_->IsInstanceDraining(name);
    view.is_suspect =
        member.state == MemberState::kSuspect || member.is_suspected_locally;
    view.utilisation = member.heartbeat.utilisation;
    snapshot->instances.push_back(std::move(view));
  }
}

void Node::FillBackends(steer::Snapshot* snapshot, absl::Time now) const {
  const std::set<std::string, std::less<>> drains =
      allotments_->StartedDrains();
  for (const auto& [name, server] :
       snapshot->configuration->backend_servers()) {
    if (server.zone != identity_.zone) {
      continue;
    }
    steer::BackendView view;
    view.name = name;
    view.service = server.service;
    view.address = server.address;
    view.port = server.port;
    view.slot_share = static_cast<int>(allotments_->SlotShare(name));
    view.is_leaving = IsCovered(*snapshot->configuration, drains, server);
    snapshot->backends.push_back(std::move(view));
  }
  backend_health_->Apply(&snapshot->backends, now);
}

}  // namespace baobabwall::control
