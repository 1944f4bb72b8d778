#include "gateway/src/server_load.h"

#include <algorithm>
#include <cmath>

namespace baobabwall::gateway {

double ServerLoad::DecayFactor(absl::Time since, absl::Time now) const {
  if (since == absl::InfinitePast()) {
    return 0;
  }
  return std::exp(-absl::FDivDuration(now - since, kDecayTime));
}

double ServerLoad::EstimateInFlight(absl::Time now) const {
  double others = peers_in_flight_;
  const absl::Duration age = now - reported_at_;
  if (age < kMaxReportAge) {
    const double freshness = 1 - absl::FDivDuration(age, kMaxReportAge);
    others = std::max(others, reported_others_in_flight_ * freshness);
  }
  return own_in_flight_ + others;
}

std::optional<absl::Duration> ServerLoad::ReportAge(absl::Time now) const {
  if (reported_at_ == absl::InfinitePast()) {
    return std::nullopt;
  }
  return now - reported_at_;
}

double ServerLoad::Slowness(absl::Time now) const {
  return 1 + (slowness_ - 1) * DecayFactor(slowness_updated_at_, now);
}

double ServerLoad::WorkFactor(absl::Time now) const {
  if (work_factor_reported_at_ == absl::InfinitePast()) {
    return 1;
  }
  const absl::Duration age = now - work_factor_reported_at_;
  return 1 + (work_factor_ - 1) *
                 std::exp(-absl::FDivDuration(age, kWorkFactorDecayTime));
}

double ServerLoad::FailureRatio(absl::Time now) const {
  return failure_ratio_ * DecayFactor(failure_ratio_updated_at_, now);
}

void ServerLoad::OnRequestStart(absl::Time now) {
  ++own_in_flight_;
  requests_in_last_second_.Add(now, 1);
}

void ServerLoad::RecordReportedLoad(const ReportedLoad& load, absl::Time now) {
  reported_others_in_flight_ =
      std::max(0, load.running + load.waiting - own_in_flight_);
  reported_at_ = now;
  if (load.work_factor) {
    work_factor_ = *load.work_factor;
    work_factor_reported_at_ = now;
  }
}

void ServerLoad::RecordWorkTimeRatio(double ratio, absl::Time now) {
  slowness_ = Slowness(now) * (1 - kSampleWeight) + ratio * kSampleWeight;
  slowness_updated_at_ = now;
}

void ServerLoad::RecordOutcome(bool is_failure, absl::Time now) {
  failure_ratio_ = FailureRatio(now) * (1 - kSampleWeight) +
                   (is_failure ? kSampleWeight : 0);
  failure_ratio_updated_at_ = now;
}

absl::Duration ServerLoad::OnUnreachable(absl::Duration warmup,
                                         absl::Time now) {
  if (now < paused_until_) {
    return absl::ZeroDuration();
  }
  const double factor = std::pow(2, std::min(consecutive_connect_failures_, 8));
  const absl::Duration pause = std::min(kInitialPause * factor, kMaxPause);
  ++consecutive_connect_failures_;
  paused_until_ = now + pause;
  cold_until_ = std::max(cold_until_, paused_until_ + warmup);
  return pause;
}

bool ServerLoad::IsBelowColdRate(int64_t limit, absl::Time now) {
  return requests_in_last_second_.Sum(now) < limit;
}

}  // namespace baobabwall::gateway
