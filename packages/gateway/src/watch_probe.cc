#include "gateway/src/watch_probe.h"

#include <algorithm>

namespace baobabwall::gateway {
namespace internal {

/// Prefix of no key, so that the answer holds only the store's revision.
constexpr char kEmptyPrefix[] = "baobabwall/none/";

}  // namespace internal

void WatchProbe::OnWatchStarted(int64_t revision, absl::Time now) {
  watched_revision_ = revision;
  next_call_at_ = now + kInterval;
  newer_revision_since_ = absl::InfiniteFuture();
}

void WatchProbe::OnWatchEnded() {
  next_call_at_ = absl::InfiniteFuture();
  newer_revision_since_ = absl::InfiniteFuture();
}

std::optional<control::StoreRequest> WatchProbe::NextCall(absl::Time now) {
  if (is_pending_ || now < next_call_at_) {
    return std::nullopt;
  }
  is_pending_ = true;
  next_call_at_ = now + kInterval;
  control::StoreRange range;
  range.prefix = internal::kEmptyPrefix;
  range.allow_stale = true;
  return range;
}

void WatchProbe::OnAnswer(const control::StoreAnswer& answer, absl::Time now) {
  is_pending_ = false;
  const bool is_watching = next_call_at_ != absl::InfiniteFuture();
  if (is_watching && answer.status == control::StoreStatus::kOk &&
      answer.revision > watched_revision_) {
    newest_revision_ = answer.revision;
    newer_revision_since_ = std::min(newer_revision_since_, now);
  }
}

}  // namespace baobabwall::gateway
