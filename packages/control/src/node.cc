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

constexpr absl::Duration kListInterval = absl::Seconds(5);
constexpr absl::Duration kSnapshotWriterInterval = absl::Seconds(1);
constexpr absl::Duration kPeersFirst = absl::Seconds(1);
// Salt of the rank among the best readers of all zones.
constexpr absl::string_view kSnapshotRank = "snapshot";
constexpr absl::Duration kMembersInterval = absl::Seconds(1);
// A tick is 100 ms, so the mean covers about a second.
constexpr double kUtilisationWeight = 0.1;
// Bounds a quarantine that another instance with a faulty clock asks for.
constexpr absl::Duration kLongestQuarantine = absl::Minutes(10);

absl::Duration LongestLookupTtl(const model::Configuration& configuration) {
  absl::Duration longest = absl::ZeroDuration();
  for (const auto& [name, service] : configuration.services()) {
    longest = std::max(longest, service.lookup_ttl);
  }
  return longest;
}

steer::InstanceView ViewOf(const Identity& identity) {
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
  policy_ = policy;
  return *this;
}

std::unique_ptr<Node> Node::Builder::Build() {
  return std::make_unique<Node>(identity_, seed_, peers_, policy_);
}

Node::Node(Identity identity,
           uint64_t seed,
           std::vector<Identity> peers,
           SnapshotPolicy policy)
    : identity_(std::move(identity)),
      random_(seed),
      membership_(identity_, std::move(peers), seed + 1),
      log_([this] { return ++last_call_; }, seed + 2),
      reader_(
          identity_,
          &log_,
          &membership_,
          [this] { return ++last_call_; },
          seed + 4),
      snapshots_(
          &log_,
          policy,
          [this] { return ++last_call_; },
          seed + 5),
      distribution_(identity_, &log_, &membership_),
      status_(identity_, &membership_),
      allotments_(
          Allotments::Builder(identity_, [this] { return ++last_call_; })
              .ServiceUseHook([this] { return ObservedUse(); })
              .Build()),
      health_(steer::BackendHealth::Builder().Seed(seed + 6).Build(nullptr)) {
  log_.SetRoseHook([this](EntrySource source, int64_t first, absl::Time now,
                          Actions* actions) {
    distribution_.Push(source, first, now, actions);
  });
}

Actions Node::Handle(const Event& event, absl::Time now) {
  Actions actions;
  allotments_->Observe(now);
  if (pause_detector_.Observe(now)) {
    OnPause(now, &actions);
  }
  std::visit([&](const auto& value) { On(value, now, &actions); }, event);
  allotments_->OnConfiguration(log_.configuration());
  if (allotments_->TakeChange()) {
    is_publish_wanted_ = true;
  }
  if (membership_.TakeChange()) {
    is_publish_wanted_ = true;
  }
  if (log_.revision() != published_revision_) {
    health_->SetServers(configuration(), identity_.zone, now);
  }
  is_publish_wanted_ = health_->OnTick(now) || is_publish_wanted_;
  if (is_publish_wanted_ || log_.revision() != published_revision_) {
    Publish(now, &actions);
  }
  return actions;
}

void Node::OnPause(absl::Time now, Actions* actions) {
  freshness_.OnPause(now);
  membership_.OnPause(now);
  membership_.SetHeartbeat(OwnHeartbeat());
  membership_.ProbeNow(now, actions);
  is_publish_wanted_ = true;
}

void Node::CheckFreshness(absl::Time now, Actions* actions) {
  if (freshness_.is_fresh()) {
    return;
  }
  if (log_.read_sent() >= freshness_.resume_time()) {
    freshness_.OnCompared(log_.revision());
  }
  // Peers come first; without their answer any instance asks the store.
  const bool may_read = reader_.is_reader() || membership_.is_alone() ||
                        now - freshness_.resume_time() > internal::kPeersFirst;
  if (may_read && log_.read_sent() < freshness_.resume_time()) {
    log_.ReadStore(now, actions);
  }
  if (freshness_.Update(log_.revision(), membership_.is_alone(), now)) {
    is_publish_wanted_ = true;
  }
}

bool Node::IsSnapshotWriter() const {
  if (!reader_.is_reader()) {
    return false;
  }
  std::set<std::string> zones = {identity_.zone};
  for (const auto& [name, member] : membership_.members()) {
    if (member.is_live()) {
      zones.insert(member.identity.zone);
    }
  }
  std::vector<std::string> best;
  for (const std::string& zone : zones) {
    best.push_back(membership_.RankedInZone(zone).front());
  }
  SortByReaderRank(internal::kSnapshotRank, &best);
  return best.front() == identity_.id.name;
}

void Node::On(const Tick& /*event*/, absl::Time now, Actions* actions) {
  for (auto it = quarantined_.begin(); it != quarantined_.end();) {
    it = it->second < now ? quarantined_.erase(it) : std::next(it);
  }
  membership_.SetHeartbeat(OwnHeartbeat());
  membership_.OnTick(now, actions);
  log_.OnTick(now, actions);
  reader_.OnTick(now, actions);
  if (now >= snapshot_writer_due_) {
    snapshot_writer_due_ = now + internal::kSnapshotWriterInterval;
    is_snapshot_writer_ = IsSnapshotWriter();
  }
  snapshots_.OnTick(is_snapshot_writer_, now, actions);
  distribution_.OnTick(now);
  CheckFreshness(now, actions);
  status_.OnTick(reader_.is_reader(), now, actions);
  UpdateAllotments(now, actions);
  for (const std::string& name : health_->DueProbes(now)) {
    const auto server = configuration().backend_servers().find(name);
    if (server != configuration().backend_servers().end()) {
      actions->push_back(ProbeBackendServer{name, server->second.address,
                                            server->second.port});
    }
  }
  if (now >= list_due_) {
    list_due_ = now + internal::kListInterval;
    actions->push_back(ReadInstanceList());
  }
  if (membership_.is_leaving() && now >= leave_until_ &&
      !is_shutdown_announced_) {
    is_shutdown_announced_ = true;
    actions->push_back(ShutdownReady());
  }
}

void Node::On(const StoreAnswer& event, absl::Time now, Actions* actions) {
  if (allotments_->OnStoreAnswer(event, now, actions)) {
    return;
  }
  const bool was_known = log_.is_known();
  if (log_.OnStoreAnswer(event, now, actions) ||
      reader_.OnStoreAnswer(event, now, actions) ||
      snapshots_.OnStoreAnswer(event, now, actions)) {
    is_publish_wanted_ = is_publish_wanted_ || log_.is_known() != was_known;
  }
}

void Node::On(const PeerMessage& event, absl::Time now, Actions* actions) {
  const bool was_known = log_.is_known();
  membership_.SetHeartbeat(OwnHeartbeat());
  const bool is_compared = membership_.OnMessage(event, now, actions);
  const Heartbeat* heartbeat = nullptr;
  if (const auto* ping = std::get_if<Ping>(&event.payload)) {
    heartbeat = &ping->heartbeat;
  } else if (const auto* ack = std::get_if<Ack>(&event.payload)) {
    heartbeat = &ack->heartbeat;
  }
  if (heartbeat != nullptr) {
    distribution_.OnHeartbeat(event.sender, *heartbeat, now, actions);
    if (is_compared) {
      freshness_.OnCompared(heartbeat->config_revision);
    }
  }
  distribution_.OnMessage(event, now, actions);
  status_.OnMessage(event, now, actions);
  CheckFreshness(now, actions);
  is_publish_wanted_ = is_publish_wanted_ || log_.is_known() != was_known;
  if (const auto* update = std::get_if<QuarantineUpdate>(&event.payload)) {
    Quarantine(update->fingerprint,
               std::min(update->until, now + internal::kLongestQuarantine));
  }
  if (const auto* update = std::get_if<AllotmentUpdate>(&event.payload)) {
    allotments_->OnTableUpdate(*update);
  }
  if (const auto* applied = std::get_if<Applied>(&event.payload)) {
    allotments_->OnHeartbeat(event.sender.id,
                             applied->heartbeat.allotment_epoch, now);
  }
}

void Node::On(const WriteRequested& event, absl::Time now, Actions* actions) {
  WriteRequested request = event;
  if (request.batch.operation_id.empty()) {
    // Unique, so that a lost answer is resolved by it.
    request.batch.operation_id = absl::StrCat(
        identity_.id.name, ".", identity_.id.incarnation, ".", event.id);
  }
  log_.Write(request, now, actions);
}

void Node::On(const ListRead& event, absl::Time now, Actions* /*actions*/) {
  allotments_->OnList(event.list, now);
  membership_.OnList(event.list);
  for (const ListedBackendServer& server : event.list.backend_servers) {
    health_->OnListEntry(server.name, server.is_leaving, now);
  }
  is_publish_wanted_ = true;
  reader_.OnList();
}

void Node::On(const TrafficReported& event,
              absl::Time /*now*/,
              Actions* actions) {
  allotments_->OnSlotsInUse(event.slots_in_use);
  if (published_ != nullptr) {
    // Others see the figure seconds later, so a mean serves them better than
    // the state of one moment.
    for (const auto& [service, used] :
         UtilisationByService(published_->backends, event.slots_in_use)) {
      double& mean = utilisation_.try_emplace(service, used).first->second;
      mean += internal::kUtilisationWeight * (used - mean);
    }
  }
  for (const steer::Observation& observation : event.observations) {
    health_->OnObservation(observation);
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
  absl::Time& end = quarantined_.try_emplace(fingerprint, until).first->second;
  end = std::max(end, until);
  is_publish_wanted_ = true;
}

void Node::On(const ProbeEnded& event, absl::Time now, Actions* /*actions*/) {
  health_->OnProbe(event.backend_server,
                   {event.is_answered, event.is_ready, event.is_leaving,
                    event.reported_load, event.report_age},
                   now);
}

void Node::On(const ShutdownRequested& /*event*/,
              absl::Time now,
              Actions* actions) {
  membership_.Leave(now, actions);
  allotments_->OnLeaving(now);
  leave_until_ = now + internal::LongestLookupTtl(*log_.configuration());
}

void Node::UpdateAllotments(absl::Time now, Actions* actions) {
  if (now >= members_due_) {
    members_due_ = now + internal::kMembersInterval;
    std::vector<AllotmentMember> members;
    for (const auto& [name, known] : membership_.members()) {
      if (known.identity.zone != identity_.zone) {
        continue;
      }
      AllotmentMember member;
      member.identity = known.identity;
      member.is_alive =
          known.state == MemberState::kLeaving ||
          (known.state == MemberState::kAlive && !known.is_suspected_here);
      member.is_leaving = known.state == MemberState::kLeaving;
      member.acknowledged_epoch = known.heartbeat.allotment_epoch;
      member.utilisation = known.heartbeat.utilisation;
      members.push_back(std::move(member));
    }
    allotments_->OnMembers(std::move(members), now);
  }
  allotments_->OnTick(now, actions);
}

ServiceUse Node::ObservedUse() const {
  // Instances of a zone see about the same load, so the mean of those heard
  // stands for the others.
  std::map<std::pair<std::string, std::string>, std::pair<double, int>> heard;
  const auto add = [&](const std::string& zone, const Heartbeat& heartbeat) {
    for (const auto& [service, part] : heartbeat.utilisation) {
      auto& [sum, count] = heard[{zone, service}];
      sum += part;
      ++count;
    }
  };
  add(identity_.zone, OwnHeartbeat());
  for (const auto& [name, member] : membership_.members()) {
    if (member.state == MemberState::kAlive) {
      add(member.identity.zone, member.heartbeat);
    }
  }
  ServiceUse use;
  for (const auto& [name, server] : log_.configuration()->backend_servers()) {
    const auto mean = heard.find({server.zone, server.service});
    if (mean != heard.end()) {
      use[mean->first] +=
          server.slots * mean->second.first / mean->second.second;
    }
  }
  return use;
}

Heartbeat Node::OwnHeartbeat() const {
  Heartbeat heartbeat;
  heartbeat.allotment_epoch = allotments_->acknowledged_epoch();
  heartbeat.config_revision = log_.is_known() ? log_.revision() : -1;
  heartbeat.utilisation = utilisation_;
  return heartbeat;
}

void Node::Publish(absl::Time now, Actions* actions) {
  auto snapshot = std::make_shared<steer::Snapshot>();
  snapshot->configuration = log_.configuration();
  snapshot->self = identity_.id;
  snapshot->zone = identity_.zone;
  snapshot->region = identity_.region;
  snapshot->is_ready = log_.is_known();
  snapshot->is_admitting = freshness_.is_fresh();
  snapshot->is_leaving = membership_.is_leaving();
  FillInstances(snapshot.get());
  FillBackends(snapshot.get(), now);
  snapshot->quarantined = quarantined_;
  lookup_index_ = steer::LookupIndex::Make(*snapshot, lookup_index_);
  snapshot->lookup_index = lookup_index_;
  snapshot->moved_shares = allotments_->MovedShares();
  snapshot->link_shares = allotments_->LinkShares();
  allotments_->OnPublished();
  // Compiled here, so that no traffic thread waits for it.
  (void)snapshot->configuration->client_blocks();
  published_revision_ = log_.revision();
  is_publish_wanted_ = false;
  published_ = snapshot;
  actions->push_back(PublishSnapshot{std::move(snapshot)});
}

void Node::FillInstances(steer::Snapshot* snapshot) const {
  std::set<absl::string_view> listed_as_leaving;
  for (const ListedInstance& listed : membership_.list().instances) {
    if (listed.is_leaving) {
      listed_as_leaving.insert(listed.identity.id.name);
    }
  }
  snapshot->instances.push_back(internal::ViewOf(identity_));
  snapshot->instances.back().is_leaving =
      membership_.is_leaving() ||
      allotments_->IsInstanceDraining(identity_.id.name);
  snapshot->instances.back().utilisation = membership_.heartbeat().utilisation;
  for (const auto& [name, member] : membership_.members()) {
    if (!member.is_live()) {
      continue;
    }
    steer::InstanceView view = internal::ViewOf(member.identity);
    view.is_leaving = member.state == MemberState::kLeaving ||
                      listed_as_leaving.count(name) > 0 ||
                      allotments_->IsInstanceDraining(name);
    view.is_suspect =
        member.state == MemberState::kSuspect || member.is_suspected_here;
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
  health_->Apply(&snapshot->backends, now);
}

}  // namespace baobabwall::control
