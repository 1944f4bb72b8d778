#include "gateway/src/backend_registry.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace baobabwall::gateway {

BackendRegistry::EntryState BackendRegistry::StateOf(
    const BackendServer& server) {
  // Without a start time, the counts of different incarnations can't be told
  // apart.
  return {server.incarnation, server.incarnation == 0 ? 0 : server.sequence};
}

void BackendRegistry::OnStoreReachable(absl::Time now) {
  store_reachable_since_ = now;
}

void BackendRegistry::OnStoreRestored(absl::Time now) {
  restored_at_ = now;
  store_reachable_since_ = now;
}

bool BackendRegistry::IsOutdated(const BackendServer& server) const {
  const auto known = entries_.find(server.id);
  if (known != entries_.end()) {
    return StateOf(server) < StateOf(*known->second);
  }
  const auto departed = departed_.find(server.id);
  return departed != departed_.end() && StateOf(server) < departed->second;
}

bool BackendRegistry::IsReturnOfDeparted(const BackendServer& server,
                                         absl::Time now) const {
  const auto departed = departed_.find(server.id);
  return IsInRestoreGracePeriod(now) && entries_.count(server.id) == 0 &&
         departed != departed_.end() && departed->second == StateOf(server);
}

void BackendRegistry::RememberDeparted(const BackendServer& server) {
  if (departed_.size() >= kMaxDeparted) {
    departed_.clear();
  }
  departed_[server.id] = StateOf(server);
}

void BackendRegistry::OnConfig(std::shared_ptr<const RoutingConfig> config) {
  config_ = std::move(config);
}

absl::Duration BackendRegistry::WarmupOf(const BackendServer& server) const {
  const ServiceSpec* service =
      config_ == nullptr ? nullptr : config_->FindService(server.service);
  return service == nullptr ? absl::ZeroDuration() : service->warmup;
}

bool BackendRegistry::IsInOutageGracePeriod(absl::Time now) const {
  return now - store_reachable_since_ < kOutageGracePeriod;
}

void BackendRegistry::LogEntry(const BackendServer* previous,
                               const BackendServer& server) {
  if (previous == nullptr) {
    LogChange(absl::StrCat("registry: server added server=", server.id,
                           " service=", server.service, " zone=", server.zone,
                           " slots=", server.slots,
                           " draining=", server.is_draining));
  } else if (previous->is_draining != server.is_draining) {
    LogChange(absl::StrCat(server.is_draining ? "registry: server draining"
                                              : "registry: server ready",
                           " server=", server.id, " service=", server.service));
  }
}

void BackendRegistry::LogChange(const std::string& line) {
  ++logged_changes_;
  if (logged_changes_ <= kMaxListedChanges) {
    log_(line);
  }
}

void BackendRegistry::OnEntry(BackendServer server,
                              bool is_initial_read,
                              absl::Time now) {
  doubtful_entries_.erase(server.id);
  if (IsOutdated(server)) {
    return;
  }
  if (IsReturnOfDeparted(server, now)) {
    std::string id = server.id;
    doubtful_entries_.emplace(std::move(id), std::move(server));
    return;
  }
  departed_.erase(server.id);
  const auto known = entries_.find(server.id);
  const BackendServer* previous =
      known == entries_.end() ? nullptr : known->second.get();
  if (previous != nullptr && server.incarnation != previous->incarnation) {
    previous = nullptr;
  }
  if (previous != nullptr) {
    server.cold_until = std::max(server.cold_until, previous->cold_until);
  } else if (!is_initial_read && !server.is_draining) {
    server.cold_until = std::max(server.cold_until, now + WarmupOf(server));
  }
  if (!is_initial_read) {
    LogEntry(previous, server);
  }
  kept_ids_.erase(server.id);
  std::string id = server.id;
  entries_[std::move(id)] =
      std::make_shared<const BackendServer>(std::move(server));
  is_changed_ = true;
}

void BackendRegistry::Remove(Entries::iterator entry) {
  LogChange(absl::StrCat("registry: server removed server=", entry->first,
                         " service=", entry->second->service));
  is_changed_ = true;
  RememberDeparted(*entry->second);
  kept_ids_.erase(entry->first);
  entries_.erase(entry);
}

void BackendRegistry::OnRemoved(absl::string_view id, absl::Time now) {
  if (const auto doubtful = doubtful_entries_.find(id);
      doubtful != doubtful_entries_.end()) {
    doubtful_entries_.erase(doubtful);
  }
  const auto known = entries_.find(id);
  if (known == entries_.end()) {
    return;
  }
  if (IsInOutageGracePeriod(now) && !known->second->is_draining) {
    LogChange(
        absl::StrCat("registry: server kept server=", id, " store_returned_ms=",
                     absl::ToInt64Milliseconds(now - store_reachable_since_)));
    kept_ids_.emplace(id);
    return;
  }
  Remove(known);
}

void BackendRegistry::OnCompleteRead(const std::set<std::string>& ids,
                                     absl::Time now) {
  std::vector<std::string> missing;
  for (const auto& [id, entry] : entries_) {
    if (ids.count(id) == 0) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    OnRemoved(id, now);
  }
}

void BackendRegistry::OnEvacuation(absl::string_view zone,
                                   bool is_evacuated,
                                   absl::Time now) {
  if (const auto kept = kept_zones_.find(zone); kept != kept_zones_.end()) {
    kept_zones_.erase(kept);
  }
  const auto known = evacuated_zones_.find(zone);
  if (is_evacuated == (known != evacuated_zones_.end())) {
    return;
  }
  is_changed_ = true;
  if (is_evacuated) {
    evacuated_zones_.emplace(zone);
    return;
  }
  evacuated_zones_.erase(known);
  // The servers of the zone were idle during the evacuation, so their caches
  // may be cold.
  StartWarmup(zone, now);
}

void BackendRegistry::StartWarmup(absl::string_view zone, absl::Time now) {
  for (auto& [id, server] : entries_) {
    if (server->zone != zone) {
      continue;
    }
    auto cold_server = std::make_shared<BackendServer>(*server);
    cold_server->cold_until =
        std::max(server->cold_until, now + WarmupOf(*server));
    server = std::move(cold_server);
  }
}

void BackendRegistry::OnEvacuations(const std::set<std::string>& zones,
                                    absl::Time now) {
  const std::set<std::string, std::less<>> previous = evacuated_zones_;
  for (const std::string& zone : previous) {
    if (zones.count(zone) > 0) {
      continue;
    }
    if (IsInRestoreGracePeriod(now)) {
      kept_zones_.insert(zone);
    } else {
      OnEvacuation(zone, false, now);
    }
  }
  for (const std::string& zone : zones) {
    OnEvacuation(zone, true, now);
  }
}

void BackendRegistry::OnTick(absl::Time now) {
  if (!IsInRestoreGracePeriod(now)) {
    EndRestoreGracePeriod(now);
  }
  if (kept_ids_.empty() || IsInOutageGracePeriod(now)) {
    return;
  }
  const std::set<std::string, std::less<>> kept_ids =
      std::exchange(kept_ids_, {});
  for (const std::string& id : kept_ids) {
    const auto entry = entries_.find(id);
    if (entry != entries_.end()) {
      Remove(entry);
    }
  }
}

void BackendRegistry::EndRestoreGracePeriod(absl::Time now) {
  for (const std::string& zone : std::exchange(kept_zones_, {})) {
    OnEvacuation(zone, false, now);
  }
  for (auto& [id, server] : std::exchange(doubtful_entries_, {})) {
    OnEntry(server, false, now);
  }
}

bool BackendRegistry::TakeChanged() {
  const int logged_changes = std::exchange(logged_changes_, 0);
  if (logged_changes > kMaxListedChanges) {
    log_(absl::StrCat("registry: changes not listed count=",
                      logged_changes - kMaxListedChanges));
  }
  return std::exchange(is_changed_, false);
}

std::shared_ptr<const BackendSet> BackendRegistry::Publish() const {
  auto set = std::make_shared<BackendSet>();
  set->servers.reserve(entries_.size());
  for (const auto& [id, server] : entries_) {
    set->servers.push_back(server);
  }
  set->evacuated_zones = evacuated_zones_;
  return set;
}

}  // namespace baobabwall::gateway
