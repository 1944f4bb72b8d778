#include "gateway/src/server_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace baobabwall::gateway {
namespace internal {

/// \returns the tokens that all instances together can hold.
double HeldTokens(double per_s) {
  const double beyond_rate = per_s *
                                 absl::ToDoubleSeconds(ServerLimits::kWindow) *
                                 ServerLimits::kOvershoot +
                             ServerLimits::kSlack;
  return ServerLimits::kHeldRatio * beyond_rate;
}

/// \returns the maximum number of instances that may send to the server.
size_t MaxSenders(double per_s) {
  return static_cast<size_t>(HeldTokens(per_s) / ServerLimits::kMinCapacity);
}

/// An instance that may get a part of a limit. Instances with a higher rank
/// come first.
struct Sender {
  bool is_in_region = false;
  uint64_t rank = 0;
  bool is_self = false;

  bool operator<(const Sender& other) const {
    return std::make_pair(is_in_region, rank) >
           std::make_pair(other.is_in_region, other.rank);
  }
  double weight() const {
    return is_in_region ? ServerLimits::kOwnRegionWeight : 1;
  }
};

}  // namespace internal

ServerLimits::ServerLimits(std::string self, ChangeHook on_change)
    : self_(std::move(self)),
      on_change_(std::move(on_change)),
      random_(base::StableHash(self_)) {}

void ServerLimits::SetInstances(absl::Span<const InstanceRecord> announced,
                                absl::Span<const InstanceRecord> live,
                                absl::Time now) {
  holders_.SetInstances(announced, HolderSet::kDepartedTime, now);
  replacements_ = HolderSet::Choose(live);
  for (const auto& [name, region] : holders_.regions()) {
    replacements_.erase(name);
  }
  accrues_from_ = std::min(accrues_from_, now + kStartDelay);
  InvalidateParts();
}

void ServerLimits::InvalidateParts() {
  for (auto& [key, limit] : limits_) {
    limit.part.reset();
  }
}

void ServerLimits::OnTick(absl::Time now) {
  if (holders_.OnTick(now)) {
    InvalidateParts();
  }
  RemoveEndedLimits(now);
}

void ServerLimits::RemoveEndedLimits(absl::Time now) {
  for (auto entry = limits_.begin(); entry != limits_.end();) {
    const auto limit = entry++;
    if (limit->second.is_ended &&
        now - limit->second.observed_at > kMaxNoticeAge) {
      --ended_count_;
      limits_.erase(limit);
    }
  }
}

void ServerLimits::RemoveOldestLimit() {
  const auto oldest = std::min_element(
      limits_.begin(), limits_.end(), [](const auto& a, const auto& b) {
        return a.second.observed_at < b.second.observed_at;
      });
  ended_count_ -= oldest->second.is_ended ? 1 : 0;
  limits_.erase(oldest);
}

ServerLimits::Part ServerLimits::ComputePart(uint32_t key,
                                             absl::string_view region,
                                             double per_s) const {
  std::vector<internal::Sender> senders;
  for (const HolderSet::Regions* group :
       {&holders_.regions(), &replacements_}) {
    for (const auto& [name, sender_region] : *group) {
      senders.push_back({sender_region == region, base::StableHash(name, key),
                         name == self_});
    }
  }
  std::sort(senders.begin(), senders.end());
  senders.resize(std::min(senders.size(), internal::MaxSenders(per_s)));
  double own_weight = 0;
  double total_weight = 0;
  for (const internal::Sender& sender : senders) {
    total_weight += sender.weight();
    if (sender.is_self) {
      own_weight = sender.weight();
    }
  }
  if (own_weight <= 0) {
    return {};
  }
  Part part;
  part.share = own_weight / total_weight;
  const double extra_tokens =
      internal::HeldTokens(per_s) -
      kMinCapacity * static_cast<double>(senders.size());
  part.capacity = kMinCapacity + extra_tokens * part.share;
  return part;
}

ServerLimits::Limit* ServerLimits::Find(const ServerLoad& server,
                                        absl::string_view region,
                                        absl::Time now) {
  const auto found = limits_.find(server.limit_key());
  if (found == limits_.end() || found->second.is_ended) {
    return nullptr;
  }
  Limit& limit = found->second;
  if (!limit.part) {
    limit.part = ComputePart(found->first, region, limit.per_s);
  }
  if (now < accrues_from_) {
    limit.bucket.Update(0, 0, now);
    return &limit;
  }
  const double per_s = std::max(limit.per_s, kMinRatePerS);
  limit.bucket.Update(per_s * limit.part->share, limit.part->capacity, now);
  return &limit;
}

bool ServerLimits::HasToken(const ServerLoad& server,
                            absl::string_view region,
                            absl::Time now) {
  if (limits_.empty()) {
    return true;
  }
  const Limit* limit = Find(server, region, now);
  return limit == nullptr || limit->bucket.tokens() >= 1 ||
         (limit->part->share <= 0 && now >= limit->probe_at);
}

std::optional<double> ServerLimits::RatePerS(const ServerLoad& server) const {
  const auto found = limits_.find(server.limit_key());
  if (found == limits_.end() || found->second.is_ended) {
    return std::nullopt;
  }
  return found->second.per_s;
}

void ServerLimits::OnRequestStart(const ServerLoad& server, absl::Time now) {
  const auto found = limits_.find(server.limit_key());
  if (found == limits_.end()) {
    return;
  }
  Limit& limit = found->second;
  limit.bucket.Remove(1);
  limit.probe_at = NextProbe(now);
}

bool ServerLimits::SetLimit(uint32_t key,
                            double per_s,
                            absl::Time observed_at,
                            absl::Time now) {
  const auto known = limits_.find(key);
  const bool is_new = known == limits_.end();
  if (!is_new && observed_at < known->second.observed_at) {
    return false;
  }
  if (is_new && limits_.size() >= kMaxLimits) {
    RemoveOldestLimit();
  }
  Limit& limit = limits_[key];
  const bool was_ended = limit.is_ended;
  if (was_ended) {
    limit = Limit();
    --ended_count_;
  }
  if (per_s != limit.per_s) {
    limit.part.reset();
  }
  limit.per_s = per_s;
  limit.observed_at = observed_at;
  limit.probe_at = NextProbe(now);
  return is_new || was_ended;
}

void ServerLimits::EndLimit(Limit* limit, absl::Time observed_at) {
  limit->is_ended = true;
  limit->observed_at = observed_at;
  ++ended_count_;
}

void ServerLimits::OnAnswer(const ServerLoad& server,
                            const LimitReport& report,
                            absl::Time sent_at,
                            absl::Time now) {
  if (!report.is_known) {
    return;
  }
  if (report.per_s) {
    if (SetLimit(server.limit_key(), *report.per_s, now, now) && on_change_) {
      on_change_(server.server(), report.per_s);
    }
    return;
  }
  const auto found = limits_.find(server.limit_key());
  if (found == limits_.end() || found->second.is_ended ||
      sent_at <= found->second.observed_at) {
    return;
  }
  EndLimit(&found->second, now);
  if (on_change_) {
    on_change_(server.server(), std::nullopt);
  }
}

void ServerLimits::OnNotices(absl::Span<const ServerLimitNotice> notices,
                             absl::Time now) {
  for (const ServerLimitNotice& notice : notices) {
    const absl::Time observed_at = now - notice.age;
    if (notice.per_s) {
      SetLimit(notice.server, *notice.per_s, observed_at, now);
      continue;
    }
    const auto found = limits_.find(notice.server);
    if (found != limits_.end() && !found->second.is_ended &&
        observed_at > found->second.observed_at) {
      EndLimit(&found->second, observed_at);
    }
  }
}

std::vector<ServerLimitNotice> ServerLimits::TakeNotices(absl::Time now) {
  std::vector<ServerLimitNotice> notices;
  for (const auto& [key, limit] : limits_) {
    const absl::Duration age = now - limit.observed_at;
    if (age > (limit.is_ended ? kEndNoticeTime : kMaxNoticeAge)) {
      continue;
    }
    ServerLimitNotice& notice = notices.emplace_back();
    notice.server = key;
    notice.age = age;
    if (!limit.is_ended) {
      notice.per_s = limit.per_s;
    }
  }
  if (notices.size() <= Heartbeat::kMaxServerLimits) {
    return notices;
  }
  // The distance behind the last key; keys in front of it come last.
  const auto distance = [this](const ServerLimitNotice& notice) {
    return notice.server - last_notice_key_ - 1;
  };
  std::sort(notices.begin(), notices.end(),
            [&distance](const auto& a, const auto& b) {
              return distance(a) < distance(b);
            });
  notices.resize(Heartbeat::kMaxServerLimits);
  last_notice_key_ = notices.back().server;
  return notices;
}

}  // namespace baobabwall::gateway
