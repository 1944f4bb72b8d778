#include "gateway/src/server_load.h"

#include <algorithm>
#include <cmath>

namespace baobabwall::gateway {

double ServerLoad::Forgotten(absl::Time since, absl::Time now) const {
  if (since == absl::InfinitePast()) {
    return 0;
  }
  return std::exp(-absl::FDivDuration(now - since, kForget));
}

double ServerLoad::Total(absl::Time now) const {
  double others = peers_;
  const absl::Duration age = now - reported_at_;
  if (age < kReportAge) {
    const double weight = 1 - absl::FDivDuration(age, kReportAge);
    others = std::max(others, reported_others_ * weight);
  }
  return own_ + others;
}

std::optional<absl::Duration> ServerLoad::ReportAge(absl::Time now) const {
  if (reported_at_ == absl::InfinitePast()) {
    return std::nullopt;
  }
  return now - reported_at_;
}

double ServerLoad::Slowness(absl::Time now) const {
  return 1 + (slowness_ - 1) * Forgotten(slowness_at_, now);
}

double ServerLoad::FailureShare(absl::Time now) const {
  return failures_ * Forgotten(failures_at_, now);
}

void ServerLoad::OnStart(absl::Time now) {
  ++own_;
  requests_of_second_.Add(now, 1);
}

void ServerLoad::OnReport(const ReportedLoad& load, absl::Time now) {
  reported_others_ = std::max(0, load.running + load.waiting - own_);
  reported_at_ = now;
}

void ServerLoad::OnSpeed(double ratio, absl::Time now) {
  slowness_ = Slowness(now) * (1 - kMeanWeight) + ratio * kMeanWeight;
  slowness_at_ = now;
}

void ServerLoad::OnOutcome(bool is_failure, absl::Time now) {
  failures_ =
      FailureShare(now) * (1 - kMeanWeight) + (is_failure ? kMeanWeight : 0);
  failures_at_ = now;
}

absl::Duration ServerLoad::OnUnreachable(absl::Duration cold, absl::Time now) {
  if (IsPaused(now)) {
    return absl::ZeroDuration();
  }
  const double factor = std::pow(2, std::min(failed_connections_, 8));
  const absl::Duration pause = std::min(kPause * factor, kMaxPause);
  ++failed_connections_;
  paused_until_ = now + pause;
  server_.cold_until = std::max(server_.cold_until, paused_until_ + cold);
  return pause;
}

bool ServerLoad::HasColdRoom(int64_t limit, absl::Time now) {
  return requests_of_second_.Sum(now) < limit;
}

}  // namespace baobabwall::gateway
