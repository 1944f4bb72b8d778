#include "gateway/src/backend_registry.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace baobabwall::gateway {

void BackendRegistry::OnStoreReachable(absl::Time now) {
  store_reachable_since_ = now;
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
                               const BackendServer& server) const {
  if (previous == nullptr) {
    log_(absl::StrCat("registry: server added server=", server.id,
                      " service=", server.service, " zone=", server.zone,
                      " slots=", server.slots,
                      " draining=", server.is_draining));
  } else if (previous->is_draining != server.is_draining) {
    log_(absl::StrCat(server.is_draining ? "registry: server draining"
                                         : "registry: server ready",
                      " server=", server.id, " service=", server.service));
  }
}

void BackendRegistry::OnEntry(BackendServer server,
                              bool is_initial_read,
                              absl::Time now) {
  const auto known = entries_.find(server.id);
  const bool is_known = known != entries_.end();
  if (is_known && server.incarnation < known->second.server.incarnation) {
    return;
  }
  const bool is_new_incarnation =
      !is_known || server.incarnation != known->second.server.incarnation;
  if (is_known && !is_new_incarnation) {
    server.cold_until =
        std::max(server.cold_until, known->second.server.cold_until);
  } else if (!is_initial_read && !server.is_draining) {
    server.cold_until = std::max(server.cold_until, now + WarmupOf(server));
  }
  if (!is_initial_read) {
    LogEntry(is_new_incarnation ? nullptr : &known->second.server, server);
  }
  std::string id = server.id;
  entries_[std::move(id)] = Entry{std::move(server)};
  is_changed_ = true;
}

BackendRegistry::Entries::iterator BackendRegistry::Remove(
    Entries::iterator entry) {
  log_(absl::StrCat("registry: server removed server=", entry->first,
                    " service=", entry->second.server.service));
  is_changed_ = true;
  return entries_.erase(entry);
}

void BackendRegistry::OnRemoved(absl::string_view id, absl::Time now) {
  const auto known = entries_.find(id);
  if (known == entries_.end()) {
    return;
  }
  if (IsInOutageGracePeriod(now) && !known->second.server.is_draining) {
    log_(absl::StrCat("registry: server kept server=", id,
                      " store_returned_ms=",
                      absl::ToInt64Milliseconds(now - store_reachable_since_)));
    known->second.removed_at = std::min(known->second.removed_at, now);
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
  for (auto& [id, entry] : entries_) {
    if (entry.server.zone != zone) {
      continue;
    }
    entry.server.cold_until =
        std::max(entry.server.cold_until, now + WarmupOf(entry.server));
  }
}

void BackendRegistry::OnEvacuations(const std::set<std::string>& zones,
                                    absl::Time now) {
  const std::set<std::string, std::less<>> previous = evacuated_zones_;
  for (const std::string& zone : previous) {
    if (zones.count(zone) == 0) {
      OnEvacuation(zone, false, now);
    }
  }
  for (const std::string& zone : zones) {
    OnEvacuation(zone, true, now);
  }
}

void BackendRegistry::OnTick(absl::Time now) {
  if (IsInOutageGracePeriod(now)) {
    return;
  }
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    if (entry->second.removed_at == absl::InfiniteFuture()) {
      ++entry;
      continue;
    }
    entry = Remove(entry);
  }
}

bool BackendRegistry::TakeChanged() {
  return std::exchange(is_changed_, false);
}

std::shared_ptr<const BackendSet> BackendRegistry::Publish() const {
  auto set = std::make_shared<BackendSet>();
  for (const auto& [id, entry] : entries_) {
    set->servers.emplace(id, entry.server);
  }
  set->evacuated_zones = evacuated_zones_;
  return set;
}

}  // namespace baobabwall::gateway
