#include "steer/src/crash_suspects.h"

#include <algorithm>

namespace baobabwall::steer {
namespace internal {

// Removes the oldest entries above the limit. The linear search is acceptable
// because the function is called only after a crash.
template <typename Entries, typename TimeOf>
void EvictOldest(size_t max_size, Entries* entries, TimeOf time_of) {
  while (entries->size() > max_size) {
    entries->erase(std::min_element(
        entries->begin(), entries->end(),
        [&](const auto& a, const auto& b) { return time_of(a) < time_of(b); }));
  }
}

}  // namespace internal

bool CrashSuspects::IsCurrent(const Suspect& suspect, absl::Time now) const {
  return now - suspect.crashed_at < kSuspectLifetime;
}

absl::Time CrashSuspects::QuarantinedUntil(uint64_t fingerprint,
                                           absl::Time now) const {
  absl::Time until = absl::InfinitePast();
  if (fingerprint == 0 || (quarantined_.empty() && zone_quarantined_.empty())) {
    return until;
  }
  const auto own = quarantined_.find(fingerprint);
  if (own != quarantined_.end()) {
    until = own->second;
  }
  const auto zone = zone_quarantined_.find(fingerprint);
  if (zone != zone_quarantined_.end()) {
    until = std::max(until, zone->second);
  }
  // A clock that was set back must not extend the quarantine.
  until = std::min(until, now + kQuarantineDuration);
  return until > now ? until : absl::InfinitePast();
}

bool CrashSuspects::IsSuspect(uint64_t fingerprint, absl::Time now) const {
  if (fingerprint == 0 || suspects_.empty()) {
    return false;
  }
  const auto found = suspects_.find(fingerprint);
  return found != suspects_.end() && IsCurrent(found->second, now);
}

std::optional<absl::Time> CrashSuspects::CrashedAt(uint64_t fingerprint,
                                                   absl::Time now) const {
  if (!IsSuspect(fingerprint, now)) {
    return std::nullopt;
  }
  return suspects_.at(fingerprint).crashed_at;
}

CrashSuspects::Admission CrashSuspects::CheckAdmission(uint64_t fingerprint,
                                                       absl::Time now) const {
  if (QuarantinedUntil(fingerprint, now) != absl::InfinitePast()) {
    return Admission::kQuarantined;
  }
  return IsSuspect(fingerprint, now) && in_flight_.contains(fingerprint)
             ? Admission::kInFlight
             : Admission::kAllowed;
}

std::set<std::string> CrashSuspects::ServersWithSuspects(
    uint64_t fingerprint) const {
  std::set<std::string> servers;
  for (const auto& [other_fingerprint, suspect] : suspects_) {
    if (other_fingerprint != fingerprint && !suspect.server.empty()) {
      servers.insert(suspect.server);
    }
  }
  return servers;
}

void CrashSuspects::OnStart(uint64_t fingerprint,
                            const std::string& server,
                            absl::Time now) {
  if (fingerprint == 0) {
    return;
  }
  ++in_flight_[fingerprint];
  if (IsSuspect(fingerprint, now)) {
    suspects_[fingerprint].server = server;
  }
}

void CrashSuspects::OnEnd(uint64_t fingerprint) {
  const auto found = in_flight_.find(fingerprint);
  if (found == in_flight_.end()) {
    return;
  }
  if (--found->second > 0) {
    return;
  }
  in_flight_.erase(found);
  const auto suspect = suspects_.find(fingerprint);
  if (suspect != suspects_.end()) {
    suspect->second.server.clear();
  }
}

void CrashSuspects::OnCompleted(uint64_t fingerprint) {
  if (!suspects_.empty()) {
    suspects_.erase(fingerprint);
  }
}

std::optional<QuarantineNotice> CrashSuspects::OnCrash(uint64_t fingerprint,
                                                       bool was_suspect,
                                                       absl::Time now) {
  if (fingerprint == 0) {
    return std::nullopt;
  }
  if (was_suspect && IsSuspect(fingerprint, now)) {
    suspects_.erase(fingerprint);
    const absl::Time until = now + kQuarantineDuration;
    quarantined_[fingerprint] = until;
    internal::EvictOldest(kMaxSuspects, &quarantined_,
                          [](const auto& entry) { return entry.second; });
    return QuarantineNotice{fingerprint, until};
  }
  const auto existing = suspects_.find(fingerprint);
  if (existing != suspects_.end() && IsCurrent(existing->second, now)) {
    return std::nullopt;
  }
  suspects_[fingerprint] = {now, ""};
  internal::EvictOldest(kMaxSuspects, &suspects_, [](const auto& entry) {
    return entry.second.crashed_at;
  });
  return std::nullopt;
}

void CrashSuspects::Publish(const std::map<uint64_t, absl::Time>& quarantined) {
  zone_quarantined_ = quarantined;
}

}  // namespace baobabwall::steer
