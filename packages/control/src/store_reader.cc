#include "control/src/store_reader.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "control/src/reader_rank.h"

namespace baobabwall::control {
namespace internal {

constexpr absl::Duration kWatchTimeout = absl::Seconds(30);
constexpr absl::Duration kInstanceListTimeout = absl::Seconds(1);
// Time after the start during which all listed instances count as members.
// The membership is complete well before this time. After this time, a listed
// instance that has already stopped no longer has a reader rank.
constexpr absl::Duration kInstanceListValidity = absl::Seconds(10);
constexpr absl::Duration kMaxReadJitter = absl::Milliseconds(500);
constexpr absl::Duration kPeerConfigurationTimeout = absl::Seconds(4);
// If the reads of 800 instances are spread over 5 s, the store receives 160
// reads/s. The store supports 2,000 reads/s.
constexpr absl::Duration kBootstrapReadSpread = absl::Seconds(5);
constexpr absl::Duration kInitialRetryDelay = absl::Milliseconds(500);
constexpr absl::Duration kMaxRetryDelay = absl::Seconds(3);
constexpr absl::Duration kMaxBootstrapRetryDelay = absl::Seconds(20);

}  // namespace internal

StoreReader::StoreReader(Identity self,
                         ConfigLog* log,
                         const Membership* membership,
                         std::function<StoreCallId()> next_call_id,
                         uint64_t seed)
    : self_(std::move(self)),
      log_(log),
      membership_(membership),
      next_call_id_(std::move(next_call_id)),
      random_(seed),
      bootstrap_backoff_(internal::kBootstrapReadSpread,
                         internal::kMaxBootstrapRetryDelay),
      watch_backoff_(internal::kInitialRetryDelay, internal::kMaxRetryDelay) {}

bool StoreReader::RanksAsReader(absl::Time now) const {
  if (!has_instance_list_ &&
      now - started_at_ < internal::kInstanceListTimeout) {
    return false;
  }
  std::vector<std::string> names = membership_->RankedInZone(self_.zone);
  if (now - started_at_ < internal::kInstanceListValidity) {
    std::set<std::string> candidate_names(names.begin(), names.end());
    for (const ListedInstance& listed : membership_->list().instances) {
      if (listed.identity.zone == self_.zone && !listed.is_leaving &&
          membership_->Find(listed.identity.id.name) == nullptr) {
        candidate_names.insert(listed.identity.id.name);
      }
    }
    names.assign(candidate_names.begin(), candidate_names.end());
    SortByReaderRank(self_.zone, &names);
  }
  const auto end = names.begin() + std::min(names.size(), kReadersPerZone);
  return std::find(names.begin(), end, self_.id.name) != end;
}

void StoreReader::OnTick(absl::Time now, Actions* actions) {
  if (started_at_ == absl::InfinitePast()) {
    started_at_ = now;
    next_bootstrap_read_at_ = now + internal::kPeerConfigurationTimeout +
                              internal::kBootstrapReadSpread * random_.Unit();
  }
  const bool was_reader = is_reader_;
  is_reader_ = RanksAsReader(now);
  if (is_reader_ && !was_reader) {
    is_first_read_started_ = false;
    first_read_at_ = now + internal::kMaxReadJitter * random_.Unit();
  }
  if (!is_reader_) {
    if (!log_->is_initialized() && now >= next_bootstrap_read_at_) {
      next_bootstrap_read_at_ = now + bootstrap_backoff_.Next(&random_);
      log_->ReadStore(now, actions);
    }
    return;
  }
  if (!is_first_read_started_ && now >= first_read_at_) {
    is_first_read_started_ = true;
    log_->ReadStore(now, actions);
  }
  if (is_first_read_started_ && pending_watch_call_ == 0 &&
      now >= next_watch_at_ &&
      log_->last_full_read_sent() != absl::InfinitePast()) {
    pending_watch_call_ = next_call_id_();
    actions->push_back(
        StoreCall{pending_watch_call_,
                  StoreWatch{std::string(kLogPrefix), log_->store_revision(),
                             internal::kWatchTimeout}});
  }
}

bool StoreReader::OnStoreAnswer(const StoreAnswer& answer,
                                absl::Time now,
                                Actions* actions) {
  if (pending_watch_call_ == 0 || answer.id != pending_watch_call_) {
    return false;
  }
  pending_watch_call_ = 0;
  if (answer.status == StoreStatus::kOk) {
    watch_backoff_.Reset();
    log_->OnWatchAnswer(answer, now, actions);
    return true;
  }
  next_watch_at_ = now + watch_backoff_.Next(&random_);
  return true;
}

}  // namespace baobabwall::control
