#include "gateway/src/gateway_control.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace baobabwall::gateway {
namespace internal {

// Seeds of parts that must not draw the same numbers.
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
               [this] { hooks_.log("store: lost"); },
               [this] {
                 registry_.OnStoreReturn(now_);
                 hooks_.log("store: returned");
               },
               [this] {
                 read_servers_.clear();
                 read_zones_.clear();
               }}),
      registration_(self_, seed + internal::kRegistrationSeed),
      registry_([this](const std::string& line) {
        hooks_.log(absl::StrCat(line, " revision=", applied_revision_));
      }),
      sources_(self_),
      relay_(&mirror_, [this](PeerCallId id, control::StoreAnswer answer) {
        hooks_.answer_peer(id, std::move(answer));
      }) {}

void GatewayControl::Call(Caller caller, control::StoreRequest request) {
  control::StoreCall call;
  call.id = ++last_call_;
  call.request = std::move(request);
  if (caller == Caller::kReader) {
    // An earlier call of the reader was given up.
    calls_.erase(reader_call_);
    reader_call_ = call.id;
  }
  calls_.emplace(call.id, caller);
  if (caller == Caller::kReader && !source_.is_store()) {
    hooks_.call_peer(source_.endpoint, std::move(call));
  } else {
    hooks_.call_store(std::move(call));
  }
}

absl::string_view GatewayControl::CallName(Caller caller) const {
  switch (caller) {
    case Caller::kReader:
      return source_.is_store() ? "read" : "read-from-instance";
    case Caller::kRegistration:
      return "register";
    case Caller::kCrashLease:
    case Caller::kCrashReport:
      break;
  }
  return "report-crash";
}

void GatewayControl::OnTick(absl::Time now) {
  now_ = now;
  if (auto call = registration_.NextCall(now)) {
    Call(Caller::kRegistration, std::move(*call));
  }
  ReadState(now);
  registry_.OnTick(now);
  PublishIfChanged();
  relay_.OnTick(RelayState(), now);
}

void GatewayControl::ReadState(absl::Time now) {
  if (!reader_.IsDue(now)) {
    return;
  }
  UseSource(sources_.Choose(now));
  if (auto call = reader_.NextCall(now)) {
    Call(Caller::kReader, std::move(*call));
  }
}

void GatewayControl::UseSource(const StateSource& source) {
  if (source.instance != source_.instance) {
    reader_.OnSourceChanged();
    hooks_.log(absl::StrCat("store: read from source=",
                            source.is_store() ? "store" : source.instance));
  }
  source_ = source;
  const bool is_read_by_many = sources_.is_reader() && sources_.has_followers();
  registration_.SetRenewal(is_read_by_many ? Registration::kReaderRenewal
                                           : Registration::kRenewal);
  if (!source_.is_store()) {
    reader_.SetPace(kPeerPace);
  } else {
    reader_.SetPace(is_read_by_many ? kReaderPace : StateReader::Pace{});
  }
}

StateRelay::State GatewayControl::RelayState() const {
  if (reader_.is_store_lost()) {
    return StateRelay::State::kStoreLost;
  }
  const bool serves = source_.is_store() && reader_.is_read() && !is_leaving_;
  return serves ? StateRelay::State::kServing : StateRelay::State::kNoReader;
}

void GatewayControl::OnPeerRevision(int64_t revision, absl::Time now) {
  if (revision <= reader_.revision()) {
    behind_since_ = absl::InfiniteFuture();
    return;
  }
  behind_since_ = std::min(behind_since_, now);
  if (now - behind_since_ < kBehind || !reader_.is_pending()) {
    return;
  }
  hooks_.log(absl::StrCat("store: watch renewed revision=", reader_.revision(),
                          " of_peers=", revision));
  behind_since_ = absl::InfiniteFuture();
  if (!source_.is_store()) {
    sources_.OnFailed(source_, now);
  }
  reader_.GiveUp(now);
  OnTick(now);
}

void GatewayControl::OnPeerCall(PeerCallId id,
                                const control::StoreRequest& request,
                                absl::Time now) {
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
  // Another instance may be behind; its keys would take changes back.
  const bool is_stale = answer.status == StoreStatus::kOk &&
                        !source_.is_store() &&
                        answer.revision < reader_.revision();
  if (is_answered && !is_stale) {
    reader_.OnAnswer(answer, now);
    last_read_ = now;
    mirror_.OnRevision(reader_.revision());
    behind_since_ = absl::InfiniteFuture();
    return;
  }
  sources_.OnFailed(source_, now);
  // What an instance does not know says nothing about the store.
  const bool is_about_store =
      source_.is_store() || answer.status == StoreStatus::kRefused;
  if (!is_about_store && sources_.HasUntried(now)) {
    reader_.GiveUp(now);
    return;
  }
  reader_.OnAnswer({}, now);
}

void GatewayControl::OnProbe(bool is_reachable, absl::Time now) {
  if (is_reachable) {
    sources_.OnStoreSeen();
    reader_.OnStoreSeen(true, now);
    return;
  }
  if (!source_.is_store()) {
    return;
  }
  sources_.OnFailed(source_, now);
  if (!sources_.HasUntried(now)) {
    reader_.OnStoreSeen(false, now);
  } else if (reader_.is_pending()) {
    OnReaderAnswer({}, now);
  }
}

void GatewayControl::OnStoreAnswer(const control::StoreAnswer& answer,
                                   absl::Time now) {
  now_ = now;
  const auto call = calls_.find(answer.id);
  if (call == calls_.end()) {
    return;
  }
  const Caller caller = call->second;
  calls_.erase(call);
  if (hooks_.call_ended) {
    hooks_.call_ended(CallName(caller), answer.status);
  }
  if (caller == Caller::kReader) {
    OnReaderAnswer(answer, now);
  } else if (caller == Caller::kRegistration) {
    registration_.OnAnswer(answer, now);
    const bool is_reachable = answer.status != control::StoreStatus::kUnknown &&
                              answer.status != control::StoreStatus::kRefused;
    OnProbe(is_reachable, now);
  } else if (caller == Caller::kCrashLease) {
    if (answer.status == control::StoreStatus::kOk) {
      WriteCrashReports(answer.lease);
    } else {
      // The other instances find out for themselves.
      hooks_.log("store: crash report not written");
      crashes_to_report_.clear();
    }
  }
  OnTick(now);
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
      read_servers_.insert(written->server.id);
    }
    registry_.OnEntry(written->server, is_complete_read && !was_read_, now_);
  } else if (const auto* removed = std::get_if<BackendRemoved>(&*change)) {
    registry_.OnRemoved(removed->id, now_);
  } else if (const auto* zone = std::get_if<EvacuationChanged>(&*change)) {
    if (is_complete_read) {
      read_zones_.insert(zone->zone);
    }
    registry_.OnEvacuation(zone->zone, zone->is_evacuated, now_);
    hooks_.log(absl::StrCat("registry: evacuation zone=", zone->zone,
                            " active=", zone->is_evacuated,
                            " revision=", item.revision));
  } else if (const auto* instance = std::get_if<InstanceWritten>(&*change)) {
    ApplyInstance(*instance);
  } else if (const auto* gone = std::get_if<InstanceRemoved>(&*change)) {
    is_changed_ = instances_.erase(gone->key) > 0 || is_changed_;
    if (gone->key == self_.Key()) {
      registration_.OnRecordRemoved(now_);
    }
  } else if (const auto* crash = std::get_if<CrashReported>(&*change)) {
    const bool is_changed = crash->is_ended
                                ? crashes_.erase(crash->fingerprint) > 0
                                : crashes_.insert(crash->fingerprint).second;
    is_changed_ = is_changed_ || is_changed;
    if (is_changed) {
      LogCrash(crash->fingerprint, crash->is_ended);
    }
  }
}

void GatewayControl::ApplyConfig(const ConfigWritten& change) {
  // A version once in force is never taken back, whatever a late read says.
  if (config_ != nullptr && change.config->version() <= config_->version()) {
    return;
  }
  config_ = change.config;
  registry_.OnConfig(config_);
  is_changed_ = true;
  hooks_.log(absl::StrCat("config: in force version=", config_->version(),
                          " routes=", config_->route_count(),
                          " revision=", applied_revision_));
}

void GatewayControl::ApplyInstance(const InstanceWritten& change) {
  instances_[change.instance.Key()] = change.instance;
  is_changed_ = true;
}

void GatewayControl::EndCompleteRead(const std::vector<std::string>& keys) {
  registry_.OnCompleteRead(read_servers_, now_);
  registry_.OnEvacuations(read_zones_, now_);
  mirror_.OnCompleteRead(keys, reader_.revision());
  const std::set<std::string> present(keys.begin(), keys.end());
  for (auto known = instances_.begin(); known != instances_.end();) {
    const bool is_there = present.count(known->first) > 0;
    known = is_there ? std::next(known) : instances_.erase(known);
  }
  if (registration_.is_registered() && present.count(self_.Key()) == 0) {
    registration_.OnRecordRemoved(now_);
  }
  was_read_ = true;
  is_changed_ = true;
  hooks_.log(absl::StrCat("store: read keys=", keys.size(),
                          " revision=", reader_.revision()));
}

void GatewayControl::PublishIfChanged() {
  const bool is_registry_changed = registry_.TakeChanged();
  if (!reader_.is_read() || (!is_registry_changed && !is_changed_)) {
    return;
  }
  if (is_changed_) {
    sources_.SetInstances(instances_);
  }
  is_changed_ = false;
  auto view = std::make_shared<ControlView>();
  view->config = config_;
  view->backends = registry_.Publish();
  for (const auto& [key, record] : instances_) {
    view->instances.push_back(record);
  }
  view->crashing_requests = crashes_;
  view->revision = reader_.revision();
  hooks_.publish(std::move(view));
}

void GatewayControl::ReportCrash(uint64_t fingerprint, absl::Time now) {
  now_ = now;
  if (!crashes_.insert(fingerprint).second) {
    return;
  }
  is_changed_ = true;
  LogCrash(fingerprint, false);
  crashes_to_report_.push_back(fingerprint);
  Call(Caller::kCrashLease, control::StoreLeaseGrant{kCrashReportLife});
}

void GatewayControl::LogCrash(uint64_t fingerprint, bool is_ended) {
  hooks_.log(absl::StrCat(is_ended ? "route: crashing request forgotten"
                                   : "route: crashing request stopped",
                          " fingerprint=", absl::Hex(fingerprint)));
}

void GatewayControl::WriteCrashReports(uint64_t lease) {
  for (const uint64_t fingerprint : crashes_to_report_) {
    control::StoreCompareAndSwap put;
    put.key = absl::StrCat(kCrashPrefix, absl::Hex(fingerprint));
    put.value = self_.name;
    put.lease = lease;
    Call(Caller::kCrashReport, std::move(put));
  }
  crashes_to_report_.clear();
}

void GatewayControl::Leave(absl::Time now) {
  is_leaving_ = true;
  registration_.Leave(now);
  OnTick(now);
}

}  // namespace baobabwall::gateway
