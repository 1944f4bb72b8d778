#include "gateway/src/state_mirror.h"

#include <algorithm>
#include <set>

namespace baobabwall::gateway {

void StateMirror::OnChange(const control::StoreKeyValue& item) {
  control::StoreKeyValue& known = items_[item.key];
  if (item.revision < known.revision) {
    return;
  }
  if (known.is_deleted) {
    deleted_keys_.erase(known.revision);
  }
  known = item;
  if (item.is_deleted) {
    deleted_keys_[item.revision] = item.key;
    EvictOldestDeletedKeys();
  }
}

void StateMirror::OnEra(int64_t era) {
  *this = StateMirror();
  era_ = era;
}

void StateMirror::EvictOldestDeletedKeys() {
  while (deleted_keys_.size() > kMaxDeletedKeys) {
    const auto oldest = deleted_keys_.begin();
    history_begin_revision_ = std::max(history_begin_revision_, oldest->first);
    items_.erase(oldest->second);
    deleted_keys_.erase(oldest);
  }
}

void StateMirror::OnCompleteRead(const std::vector<std::string>& keys,
                                 int64_t revision) {
  const std::set<std::string> existing_keys(keys.begin(), keys.end());
  for (auto item = items_.begin(); item != items_.end();) {
    const bool is_kept = existing_keys.count(item->first) > 0;
    item = is_kept ? std::next(item) : items_.erase(item);
  }
  deleted_keys_.clear();
  history_begin_revision_ = revision;
  revision_ = revision;
}

control::StoreAnswer StateMirror::NoChangeAnswer() const {
  control::StoreAnswer answer;
  answer.status = control::StoreStatus::kOk;
  answer.revision = revision_;
  if (era_ != 0) {
    answer.era = era_;
  }
  return answer;
}

control::StoreAnswer StateMirror::Range() const {
  control::StoreAnswer answer = NoChangeAnswer();
  for (const auto& [key, item] : items_) {
    if (!item.is_deleted) {
      answer.key_values.push_back(item);
    }
  }
  return answer;
}

std::optional<control::StoreAnswer> StateMirror::ChangesAfter(
    int64_t revision) const {
  control::StoreAnswer answer = NoChangeAnswer();
  if (revision < history_begin_revision_) {
    answer.status = control::StoreStatus::kHistoryGone;
    return answer;
  }
  if (revision >= revision_) {
    return std::nullopt;
  }
  for (const auto& [key, item] : items_) {
    // Changes above the replica's revision may be incomplete.
    if (item.revision > revision && item.revision <= revision_) {
      answer.key_values.push_back(item);
    }
  }
  const auto by_revision = [](const auto& a, const auto& b) {
    return a.revision < b.revision;
  };
  std::sort(answer.key_values.begin(), answer.key_values.end(), by_revision);
  return answer;
}

}  // namespace baobabwall::gateway
