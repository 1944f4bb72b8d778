#include "steer/src/key_table.h"

#include <algorithm>
#include <utility>

namespace baobabwall::steer {
namespace internal {

// Longest deadline of a service. If a run begins just before its key expires,
// the run ends within this time after the expiry.
constexpr absl::Duration kMaxDeadline = absl::Minutes(10);

}  // namespace internal

KeyTable::KeyTable(size_t capacity, size_t answer_bytes, const Rules& rules)
    : capacity_(capacity), max_answer_bytes_(answer_bytes), rules_(rules) {}

KeyTable::KeyHash KeyTable::HashKey(const std::string& text) {
  return {base::StableHash(text, 0), base::StableHash(text, 1)};
}

size_t KeyTable::AnswerBytes(const KeyEnd* end) {
  if (end == nullptr) {
    return 0;
  }
  size_t bytes = end->body.size();
  for (const auto& [name, value] : end->headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

void KeyTable::UpdateAnswerBytes(const Record& record, bool is_stored) {
  const size_t bytes = AnswerBytes(record.end.get());
  size_t& tenant_bytes = record.tenant->second.answer_bytes;
  tenant_bytes = is_stored ? tenant_bytes + bytes : tenant_bytes - bytes;
  answer_bytes_ = is_stored ? answer_bytes_ + bytes : answer_bytes_ - bytes;
}

void KeyTable::Expire(absl::Time now) {
  while (!by_expiry_.empty() &&
         by_expiry_.begin()->first < absl::ToUnixMillis(now)) {
    const auto found = records_.find(by_expiry_.begin()->second);
    if (found->second.end == nullptr) {
      // The record of a key whose request is running is never evicted.
      auto node = by_expiry_.extract(by_expiry_.begin());
      node.key() = absl::ToUnixMillis(now + internal::kMaxDeadline);
      found->second.expiry_entry = by_expiry_.insert(std::move(node));
      continue;
    }
    last_evicted_expiry_ms_ =
        std::max(last_evicted_expiry_ms_, found->second.expiry_ms);
    Erase(found);
  }
}

void KeyTable::Erase(Records::iterator record) {
  UpdateAnswerBytes(record->second, false);
  Tenants::value_type* tenant = record->second.tenant;
  if (--tenant->second.records == 0) {
    tenants_.erase(tenants_.find(tenant->first));
  }
  by_expiry_.erase(record->second.expiry_entry);
  records_.erase(record);
}

KeyStatus KeyTable::Begin(const std::string& text,
                          const IdempotencyKey& key,
                          const std::string& tenant,
                          uint64_t fingerprint,
                          absl::Time now) {
  Expire(now);
  const KeyHash key_hash = HashKey(text);
  const auto found = records_.find(key_hash);
  if (found != records_.end() && rules_.remember_keys) {
    const Record& record = found->second;
    if (record.fingerprint != fingerprint) {
      return KeyStatus::kDifferent;
    }
    return record.end == nullptr ? KeyStatus::kStillRunning : KeyStatus::kEnded;
  }
  const int64_t expiry_ms = absl::ToUnixMillis(key.expiry);
  if (key.expiry < now || (expiry_ms <= last_evicted_expiry_ms_ &&
                           rules_.track_last_evicted_expiry)) {
    return KeyStatus::kExpired;
  }
  if (key.expiry > now + kKeyLifetime + internal::kMaxDeadline) {
    return KeyStatus::kExpiryTooLate;
  }
  if (found != records_.end()) {
    return KeyStatus::kRun;
  }
  if (records_.size() >= capacity_) {
    return KeyStatus::kTableFull;
  }
  const auto tenant_entry = tenants_.find(tenant);
  if (tenant_entry != tenants_.end() &&
      tenant_entry->second.records >=
          kMaxTenantToFreeRatio * (capacity_ - records_.size())) {
    return KeyStatus::kTableFull;
  }
  Record record;
  record.fingerprint = fingerprint;
  record.serial = ++last_serial_;
  record.tenant = &*tenants_.try_emplace(tenant).first;
  record.expiry_ms = expiry_ms;
  record.expiry_entry = by_expiry_.emplace(
      absl::ToUnixMillis(key.expiry + internal::kMaxDeadline), key_hash);
  ++record.tenant->second.records;
  records_.emplace(key_hash, std::move(record));
  return KeyStatus::kRun;
}

void KeyTable::End(const std::string& text, KeyEnd end) {
  const KeyHash key_hash = HashKey(text);
  const auto found = records_.find(key_hash);
  if (found == records_.end()) {
    return;
  }
  Record& record = found->second;
  if (end.outcome == base::Outcome::kNotRun) {
    Erase(found);
    return;
  }
  if (!end.has_answer) {
    end.body.clear();
    end.headers.clear();
  }
  UpdateAnswerBytes(record, false);
  record.end = std::make_unique<KeyEnd>(std::move(end));
  UpdateAnswerBytes(record, true);
  if (!record.end->has_answer) {
    return;
  }
  auto& stored_answers = record.tenant->second.stored_answers;
  stored_answers.emplace_back(key_hash, record.serial);
  // Evicted records leave stale entries in the list. A record lives between 10
  // and 35 minutes, so removing two stale entries per new entry limits the list
  // to a few times the number of records.
  for (int i = 0; i < 2 && IsStale(stored_answers.front()); ++i) {
    stored_answers.pop_front();
  }
  while (answer_bytes_ > max_answer_bytes_) {
    DropOldestAnswer();
  }
}

bool KeyTable::IsStale(const std::pair<KeyHash, uint64_t>& entry) const {
  const auto found = records_.find(entry.first);
  return found == records_.end() || found->second.serial != entry.second;
}

void KeyTable::DropOldestAnswer() {
  const auto tenant = std::max_element(
      tenants_.begin(), tenants_.end(), [](const auto& a, const auto& b) {
        return a.second.answer_bytes < b.second.answer_bytes;
      });
  auto& stored_answers = tenant->second.stored_answers;
  if (!IsStale(stored_answers.front())) {
    Record& record = records_.find(stored_answers.front().first)->second;
    UpdateAnswerBytes(record, false);
    record.end->has_answer = false;
    record.end->body = std::string();
    record.end->headers = {};
  }
  stored_answers.pop_front();
}

const KeyEnd* KeyTable::FindEnd(const std::string& text) const {
  const auto found = records_.find(HashKey(text));
  return found == records_.end() ? nullptr : found->second.end.get();
}

}  // namespace baobabwall::steer
