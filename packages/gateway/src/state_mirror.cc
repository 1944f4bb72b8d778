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
    deleted_.erase(known.revision);
  }
  known = item;
  if (item.is_deleted) {
    deleted_[item.revision] = item.key;
    DropOldestDeleted();
  }
}

void StateMirror::DropOldestDeleted() {
  while (deleted_.size() > kMaxDeleted) {
    const auto oldest = deleted_.begin();
    history_begin_ = std::max(history_begin_, oldest->first);
    items_.erase(oldest->second);
    deleted_.erase(oldest);
  }
}

void StateMirror::OnCompleteRead(const std::vector<std::string>& keys,
                                 int64_t revision) {
  const std::set<std::string> present(keys.begin(), keys.end());
  for (auto item = items_.begin(); item != items_.end();) {
    const bool stays = present.count(item->first) > 0;
    item = stays ? std::next(item) : items_.erase(item);
  }
  deleted_.clear();
  history_begin_ = revision;
  revision_ = revision;
}

control::StoreAnswer StateMirror::NoChange() const {
  control::StoreAnswer answer;
  answer.status = control::StoreStatus::kOk;
  answer.revision = revision_;
  return answer;
}

control::StoreAnswer StateMirror::Range() const {
  control::StoreAnswer answer = NoChange();
  for (const auto& [key, item] : items_) {
    if (!item.is_deleted) {
      answer.key_values.push_back(item);
    }
  }
  return answer;
}

std::optional<control::StoreAnswer> StateMirror::ChangesAfter(
    int64_t revision) const {
  control::StoreAnswer answer = NoChange();
  if (revision < history_begin_) {
    answer.status = control::StoreStatus::kHistoryGone;
    return answer;
  }
  if (revision >= revision_) {
    return std::nullopt;
  }
  for (const auto& [key, item] : items_) {
    // What is newer than the mirror's revision is not complete yet.
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
