#include "gateway/src/gateway_control.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace baobabwall::gateway {
namespace internal {

// Seed offsets that give each component its own random sequence.
constexpr uint64_t kReaderSeed = 1;
constexpr uint64_t kRegistrationSeed = 2;

}  // namespace internal

GatewayControl::GatewayControl(InstanceRecord self, uint64_t seed, Hooks hooks)
    : self_(std::move(self)),
      hooks_(std::move(hooks)),
      reader_("",
              seed + internal::kReaderSeed,
              {[this](const control::StoreKeyValue& item, bool is_complete) {
                 Apply(item, is_complete);
               },
               [this](const std::vector<std::string>& keys) {
                 EndCompleteRead(keys);
               },
               [this] {
                 hooks_.log(absl::StrCat("store: lost call=", last_call_.name,
                                         " refused=", last_call_.is_refused));
               },
               [this] {
                 registry_.OnStoreReachable(now_);
                 hooks_.log("store: returned");
               },
               [this] {
                 servers_in_read_.clear();
                 zones_in_read_.clear();
               }}),
      registration_(self_, seed + internal::kRegistrationSeed),
      registry_([this](const std::string& line) {
        hooks_.log(absl::StrCat(line, " revision=", applied_revision_));
      }),
      sources_(self_),
      relay_(&mirror_,
             [this](PeerCallId id,
                    std::shared_ptr<const control::StoreAnswer> answer) {
               hooks_.answer_peer(id, std::move(answer));
             }) {}

void GatewayControl::Call(CallOwner owner, control::StoreRequest request) {
  control::StoreCall call;
  call.id = ++last_call_id_;
  call.request = std::move(request);
  if (auto* watch = std::get_if<control::StoreWatch>(&call.request)) {
    watch->era = era();
  }
  if (owner == CallOwner::kReader) {
    // The reader has canceled its earlier call.
    pending_calls_.erase(reader_call_id_);
    reader_call_id_ = call.id;
  }
  pending_calls_.emplace(call.id, PendingCall{owner, now_});
  if (owner == CallOwner::kReader && !reader_source_.is_store()) {
    hooks_.call_peer(reader_source_.endpoint, std::move(call));
  } else {
    hooks_.call_store(std::move(call));
  }
}

absl::string_view GatewayControl::CallName(CallOwner owner) const {
  switch (owner) {
    case CallOwner::kReader:
      return reader_source_.is_store() ? "read" : "read-from-instance";
    case CallOwner::kRegistration:
      return "register";
    case CallOwner::kWatchProbe:
      return "probe-watch";
    case CallOwner::kInstanceRead:
      return "read-instances";
    case CallOwner::kCrashLease:
    case CallOwner::kCrashReport:
      break;
  }
  return "report-crash";
}

void GatewayControl::OnTick(absl::Time now) {
  now_ = now;
  if (auto call = registration_.NextCall(now)) {
    Call(CallOwner::kRegistration, std::move(*call));
  }
  CheckWatch(now);
  ReadInstances(now);
  ReturnToPreferredSource(now);
  ReadState(now);
  registry_.OnTick(now);
  RemoveLostRecords();
  PublishIfChanged();
  relay_.OnTick(RelayState(now), now);
}

void GatewayControl::CheckWatch(absl::Time now) {
  if (!reader_.is_pending()) {
    watch_probe_.OnWatchEnded();
    return;
  }
  if (watch_probe_.IsWatchLost(now)) {
    hooks_.log(
        absl::StrCat("store: watch renewed revision=", reader_.revision(),
                     " of_store=", watch_probe_.newest_revision()));
    RenewWatch(now);
  } else if (auto call = watch_probe_.NextCall(now)) {
    Call(CallOwner::kWatchProbe, std::move(*call));
  }
}

void GatewayControl::RenewWatch(absl::Time now) {
  watch_probe_.OnWatchEnded();
  behind_peers_since_ = absl::InfiniteFuture();
  if (!reader_source_.is_store()) {
    sources_.OnFailed(reader_source_, now);
  }
  reader_.CancelCall(now);
}

void GatewayControl::ReadInstances(absl::Time now) {
  first_tick_ = std::min(first_tick_, now);
  const bool is_registered = registration_.is_registered() ||
                             now - first_tick_ >= kMaxRegistrationWait;
  const bool is_due = instance_reads_ == 0 || is_registered;
  if (is_instance_read_pending_ &&
      now - instance_read_sent_at_ >= kMaxInstanceReadTime) {
    has_read_instances_ = true;
  }
  if (has_read_instances_ || is_instance_read_pending_ || !is_due) {
    return;
  }
  is_instance_read_pending_ = true;
  instance_read_sent_at_ = now;
  ++instance_reads_;
  control::StoreRange range;
  range.prefix = std::string(kInstancePrefix);
  // The records only decide where to read the state, so they may be old.
  range.allow_stale = true;
  Call(CallOwner::kInstanceRead, std::move(range));
}

void GatewayControl::OnInstanceRead(const control::StoreAnswer& answer) {
  is_instance_read_pending_ = false;
  if (has_read_instances_) {
    return;
  }
  std::map<std::string, InstanceRecord> records;
  bool has_peers_in_region = false;
  for (const control::StoreKeyValue& item : answer.key_values) {
    const std::optional<StateChange> change = hooks_.decode(item);
    const auto* written =
        change ? std::get_if<InstanceWritten>(&*change) : nullptr;
    if (written == nullptr) {
      continue;
    }
    const InstanceRecord& record = written->instance;
    has_peers_in_region =
        has_peers_in_region ||
        (record.region == self_.region && record.name != self_.name);
    records[item.key] = record;
  }
  const bool is_read = answer.status == control::StoreStatus::kOk;
  // An instance that sees no other instance of its region may be one of many
  // that start at the same time. It looks again when it is registered itself.
  has_read_instances_ =
      !is_read || has_peers_in_region || instance_reads_ >= kMaxInstanceReads;
  sources_.SetInstances(records);
}

void GatewayControl::ReturnToPreferredSource(absl::Time now) {
  const bool waits_at_store = reader_.is_pending() &&
                              reader_.has_complete_read() &&
                              reader_source_.is_store();
  if (waits_at_store && !sources_.Choose(now).is_store()) {
    watch_probe_.OnWatchEnded();
    reader_.CancelCall(now);
  }
}

void GatewayControl::ReadState(absl::Time now) {
  if (!has_read_instances_ || !reader_.IsDue(now)) {
    return;
  }
  UseSource(sources_.Choose(now));
  if (auto call = reader_.NextCall(now)) {
    const bool is_watch = std::holds_alternative<control::StoreWatch>(*call);
    if (is_watch && reader_source_.is_store()) {
      watch_probe_.OnWatchStarted(reader_.revision(), now);
    }
    Call(CallOwner::kReader, std::move(*call));
  }
}

void GatewayControl::UseSource(const StateSource& source) {
  if (source.instance != reader_source_.instance) {
    reader_.OnSourceChanged();
    hooks_.log(absl::StrCat("store: read from source=",
                            source.is_store() ? "store" : source.instance));
  }
  reader_source_ = source;
  const bool serves_followers =
      sources_.is_reader() && sources_.has_followers();
  if (!reader_source_.is_store()) {
    registration_.SetRenewalInterval(Registration::kFollowerRenewalInterval);
    reader_.SetCallTiming(kPeerCallTiming);
  } else {
    registration_.SetRenewalInterval(serves_followers
                                         ? Registration::kReaderRenewalInterval
                                         : Registration::kRenewalInterval);
    reader_.SetCallTiming(serves_followers ? kReaderCallTiming
                                           : StateReader::CallTiming{});
  }
}

StateRelay::State GatewayControl::RelayState(absl::Time now) const {
  if (reader_.is_store_unreachable()) {
    return StateRelay::State::kStoreUnreachable;
  }
  if (!reader_source_.is_store() || is_leaving_) {
    return StateRelay::State::kNotReading;
  }
  if (!reader_.has_current_read()) {
    return reader_.is_pending() ? StateRelay::State::kStarting
                                : StateRelay::State::kNotReading;
  }
  return now - last_store_contact_ <= kMaxStoreSilence
             ? StateRelay::State::kServing
             : StateRelay::State::kNotReading;
}

void GatewayControl::OnPeerPosition(StatePosition position, absl::Time now) {
  if (era() < position.era) {
    // The answer to any call to the store tells whether this is right.
    if (now >= next_era_check_at_) {
      next_era_check_at_ = now + kEraCheckInterval;
      registration_.CallSoon(now);
      OnTick(now);
    }
    return;
  }
  const int64_t revision = position.revision;
  const bool is_read = position.era < era() || revision <= reader_.revision();
  if (is_read || !reader_.has_current_read()) {
    behind_peers_since_ = absl::InfiniteFuture();
    return;
  }
  peer_lag_.OnReported(revision, now);
  behind_peers_since_ = std::min(behind_peers_since_, now);
  if (now - behind_peers_since_ < kMaxPeerRevisionLag ||
      !reader_.is_pending()) {
    return;
  }
  hooks_.log(absl::StrCat("store: watch renewed revision=", reader_.revision(),
                          " of_peers=", revision));
  RenewWatch(now);
  OnTick(now);
}

void GatewayControl::OnPeerCall(PeerCallId id,
                                const control::StoreRequest& request,
                                absl::Time now) {
  // The process may have been suspended since the last tick.
  relay_.OnTick(RelayState(now), now);
  relay_.OnCall(id, request, now);
}

void GatewayControl::OnReaderAnswer(const control::StoreAnswer& answer,
                                    absl::Time now) {
  using control::StoreStatus;
  if (!reader_.is_pending()) {
    return;
  }
  const bool is_answered = answer.status == StoreStatus::kOk ||
                           answer.status == StoreStatus::kHistoryGone;
  // The other instance may know an older revision, which would revert changes
  // that have already been applied.
  const bool is_older = answer.status == StoreStatus::kOk &&
                        !reader_source_.is_store() &&
                        answer.revision < reader_.revision();
  if (is_answered && !is_older) {
    reader_.OnAnswer(answer, now);
    last_read_ = now;
    if (reader_.has_current_read()) {
      mirror_.OnRevision(reader_.revision());
    }
    peer_lag_.OnRead(reader_.revision());
    behind_peers_since_ = absl::InfiniteFuture();
    return;
  }
  sources_.OnFailed(reader_source_, now);
  // A failed read from another instance does not show that the store is
  // unreachable.
  const bool is_store_failure =
      reader_source_.is_store() || answer.status == StoreStatus::kRefused;
  if (!is_store_failure && sources_.HasUsableSource(now)) {
    reader_.CancelCall(now);
    return;
  }
  reader_.OnAnswer({}, now);
}

void GatewayControl::OnStoreProbe(bool is_reachable, absl::Time now) {
  if (is_reachable) {
    sources_.OnStoreReachable();
    reader_.OnStoreReachability(true, now);
    return;
  }
  if (!reader_source_.is_store()) {
    return;
  }
  sources_.OnFailed(reader_source_, now);
  if (!sources_.HasUsableSource(now)) {
    reader_.OnStoreReachability(false, now);
  } else if (reader_.is_pending()) {
    OnReaderAnswer({}, now);
  }
}

void GatewayControl::OnStoreAnswer(const control::StoreAnswer& answer,
                                   absl::Time now) {
  now_ = now;
  const auto call = pending_calls_.find(answer.id);
  if (call == pending_calls_.end()) {
    return;
  }
  const auto [owner, sent_at] = call->second;
  pending_calls_.erase(call);
  last_call_ = {CallName(owner),
                answer.status == control::StoreStatus::kRefused};
  if (hooks_.call_ended) {
    hooks_.call_ended(last_call_.name, answer.status);
  }
  const bool is_from_peer =
      owner == CallOwner::kReader && !reader_source_.is_store();
  if (!is_from_peer && answer.status != control::StoreStatus::kUnknown) {
    last_store_contact_ = std::max(last_store_contact_, sent_at);
  }
  switch (CheckEra(answer, sent_at, is_from_peer)) {
    case EraCheck::kSame:
      PassOnAnswer(owner, answer, now);
      break;
    case EraCheck::kOutdated:
      PassOnAnswer(owner, {}, now);
      break;
    case EraCheck::kRestored:
      if (EnterEra(*answer.era, now) && owner == CallOwner::kRegistration) {
        // Only tells that the store is reachable: the lease is an earlier one.
        OnStoreProbe(answer.status != control::StoreStatus::kRefused, now);
      } else {
        PassOnAnswer(owner, answer, now);
      }
      break;
  }
  OnTick(now);
}

void GatewayControl::PassOnAnswer(CallOwner owner,
                                  const control::StoreAnswer& answer,
                                  absl::Time now) {
  if (owner == CallOwner::kReader) {
    OnReaderAnswer(answer, now);
  } else if (owner == CallOwner::kRegistration) {
    registration_.OnAnswer(answer, now);
    const bool is_reachable = answer.status != control::StoreStatus::kUnknown &&
                              answer.status != control::StoreStatus::kRefused;
    OnStoreProbe(is_reachable, now);
  } else if (owner == CallOwner::kWatchProbe) {
    watch_probe_.OnAnswer(answer, now);
  } else if (owner == CallOwner::kInstanceRead) {
    OnInstanceRead(answer);
  } else if (owner == CallOwner::kCrashLease) {
    if (answer.status == control::StoreStatus::kOk) {
      WriteCrashReports(answer.lease);
    } else {
      // If the report is lost, the other instances detect the crashing request
      // on their own.
      hooks_.log("store: crash report not written");
      crashing_requests_to_report_.clear();
    }
  }
}

void GatewayControl::Apply(const control::StoreKeyValue& item,
                           bool is_complete_read) {
  mirror_.OnChange(item);
  applied_revision_ = item.revision;
  std::optional<StateChange> change = hooks_.decode(item);
  if (!change) {
    return;
  }
  if (const auto* config = std::get_if<ConfigWritten>(&*change)) {
    ApplyConfig(*config);
  } else if (const auto* written = std::get_if<BackendWritten>(&*change)) {
    if (is_complete_read) {
      servers_in_read_.insert(written->server.id);
    }
    registry_.OnEntry(written->server, is_complete_read && !has_complete_read_,
                      now_);
  } else if (const auto* removed = std::get_if<BackendRemoved>(&*change)) {
    registry_.OnRemoved(removed->id, now_);
  } else if (const auto* zone = std::get_if<EvacuationChanged>(&*change)) {
    if (is_complete_read) {
      zones_in_read_.insert(zone->zone);
    }
    registry_.OnEvacuation(zone->zone, zone->is_evacuated, now_);
    hooks_.log(absl::StrCat("registry: evacuation zone=", zone->zone,
                            " active=", zone->is_evacuated,
                            " revision=", item.revision));
  } else if (const auto* instance = std::get_if<InstanceWritten>(&*change)) {
    ApplyInstance(*instance);
  } else if (const auto* removed_instance =
                 std::get_if<InstanceRemoved>(&*change)) {
    missing_records_.erase(removed_instance->key);
    are_instances_changed_ =
        instances_.erase(removed_instance->key) > 0 || are_instances_changed_;
    if (removed_instance->key == self_.Key()) {
      registration_.OnRecordRemoved(now_);
    }
  } else if (const auto* crash = std::get_if<CrashReported>(&*change)) {
    missing_crash_reports_.erase(crash->fingerprint);
    const bool is_changed =
        crash->is_ended ? crashing_requests_.erase(crash->fingerprint) > 0
                        : crashing_requests_.insert(crash->fingerprint).second;
    is_changed_ = is_changed_ || is_changed;
    if (is_changed) {
      LogCrash(crash->fingerprint, crash->is_ended);
    }
  }
}

void GatewayControl::ApplyConfig(const ConfigWritten& change) {
  // A configuration is never replaced by an older version, even if a late read
  // returns an older version.
  if (config_ != nullptr && change.config->version() <= config_->version()) {
    return;
  }
  if (config_ != nullptr) {
    change.config->ShareAccounts(*config_);
  }
  config_ = change.config;
  registry_.OnConfig(config_);
  is_changed_ = true;
  hooks_.log(absl::StrCat("config: in force version=", config_->version(),
                          " routes=", config_->route_count(),
                          " revision=", applied_revision_));
}

void GatewayControl::ApplyInstance(const InstanceWritten& change) {
  missing_records_.erase(change.instance.Key());
  instances_[change.instance.Key()] = change.instance;
  are_instances_changed_ = true;
}

void GatewayControl::EndCompleteRead(const std::vector<std::string>& keys) {
  registry_.OnCompleteRead(servers_in_read_, now_);
  registry_.OnEvacuations(zones_in_read_, now_);
  mirror_.OnCompleteRead(keys, reader_.revision());
  const std::set<std::string> existing_keys(keys.begin(), keys.end());
  RemoveMissingRecords(existing_keys);
  if (registration_.is_registered() && existing_keys.count(self_.Key()) == 0) {
    registration_.OnRecordRemoved(now_);
  }
  has_complete_read_ = true;
  is_changed_ = true;
  are_instances_changed_ = true;
  hooks_.log(absl::StrCat("store: read keys=", keys.size(),
                          " revision=", reader_.revision()));
}

ConfigFreshness GatewayControl::Freshness(absl::Time now) const {
  const bool may_be_outdated = reader_.is_store_unreachable() ||
                               !reader_.has_current_read() ||
                               peer_lag_.Lag(now) >= kMaxCurrentLag;
  return may_be_outdated ? ConfigFreshness::kMayBeOutdated
                         : ConfigFreshness::kCurrent;
}

void GatewayControl::PublishIfChanged() {
  const bool is_registry_changed = registry_.TakeChanged();
  const ConfigFreshness freshness = Freshness(now_);
  const bool is_changed = is_registry_changed || is_changed_ ||
                          are_instances_changed_ ||
                          freshness != published_freshness_;
  if (!reader_.has_complete_read() || !is_changed) {
    is_changed_ = is_changed;
    return;
  }
  is_changed_ = false;
  if (are_instances_changed_) {
    PublishInstances();
  }
  auto view = std::make_shared<ControlView>();
  view->config = config_;
  view->backends = registry_.Publish();
  view->instances = published_instances_;
  view->crashing_requests = crashing_requests_;
  view->position = {era(), reader_.revision()};
  view->freshness = freshness;
  published_freshness_ = freshness;
  hooks_.publish(std::move(view));
}

void GatewayControl::PublishInstances() {
  are_instances_changed_ = false;
  sources_.SetInstances(instances_);
  auto records = std::make_shared<std::vector<InstanceRecord>>();
  records->reserve(instances_.size());
  for (const auto& [key, record] : instances_) {
    records->push_back(record);
  }
  published_instances_ = std::move(records);
}

void GatewayControl::Leave(absl::Time now) {
  is_leaving_ = true;
  registration_.Leave(now);
  OnTick(now);
}

}  // namespace baobabwall::gateway
