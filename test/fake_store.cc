#include "fake_store.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

namespace baobabwall::test {

absl::Duration FakeStore::Delay() {
  return faults_.min_delay +
         (faults_.max_delay - faults_.min_delay) * random_.Unit();
}

void FakeStore::Count(const control::StoreRequest& request) {
  if (std::holds_alternative<control::StoreGet>(request) ||
      std::holds_alternative<control::StoreRange>(request) ||
      std::holds_alternative<control::StoreWatch>(request)) {
    ++reads_;
    int64_t& count = reads_by_second_[absl::ToUnixSeconds(queue_->now())];
    peak_reads_ = std::max(peak_reads_, ++count);
    return;
  }
  ++writes_;
}

control::StoreAnswer FakeStore::Execute(const control::StoreRequest& request) {
  const absl::Time now = queue_->now();
  state_.ExpireLeases(now);
  return std::visit(
      [&](const auto& value) -> control::StoreAnswer {
        using T = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<T, control::StoreCompareAndSwap>) {
          control::StoreAnswer answer = state_.CompareAndSwap(value);
          if (answer.status == control::StoreStatus::kOk &&
              value.expected_revision == 0) {
            created_.emplace(value.key, value.value);
          }
          return answer;
        } else if constexpr (std::is_same_v<T, control::StoreLeaseGrant>) {
          return state_.Grant(value, now);
        } else if constexpr (std::is_same_v<T, control::StoreLeaseKeepAlive>) {
          return state_.KeepAlive(value, now);
        } else if constexpr (std::is_same_v<T, control::StoreLeaseEnd>) {
          return state_.EndLease(value, now);
        } else {
          const bool is_stale = faults_.stale_reads > 0;
          faults_.stale_reads -= is_stale ? 1 : 0;
          const transport::KeyValueState& state = is_stale ? frozen_ : state_;
          if constexpr (std::is_same_v<T, control::StoreGet>) {
            return state.Get(value);
          } else if constexpr (std::is_same_v<T, control::StoreRange>) {
            return state.Range(value);
          } else {
            return state.Changes(value);
          }
        }
      },
      request);
}

void FakeStore::Deliver(control::StoreAnswer answer, const Done& done) {
  queue_->After(Delay(), [answer = std::move(answer), done] { done(answer); });
}

void FakeStore::Start(const control::StoreCall& call, bool reaches, Done done) {
  Count(call.request);
  control::StoreAnswer unknown;
  unknown.id = call.id;
  if (!reaches || faults_.is_down || random_.Unit() < faults_.lost_call) {
    queue_->After(kCallTimeout, [unknown, done] { done(unknown); });
    return;
  }
  queue_->After(Delay(), [this, call, unknown, done] {
    const auto* watch = std::get_if<control::StoreWatch>(&call.request);
    control::StoreAnswer answer = Execute(call.request);
    answer.id = call.id;
    if (watch != nullptr && answer.key_values.empty()) {
      auto end = [done, id = call.id](control::StoreAnswer changes) {
        changes.id = id;
        done(changes);
      };
      waiters_.push_back({*watch, end, queue_->now() + watch->timeout});
      queue_->After(watch->timeout, [this] { WakeWaiters(); });
      return;
    }
    if (random_.Unit() < faults_.lost_answer) {
      queue_->After(kCallTimeout, [unknown, done] { done(unknown); });
    } else {
      Deliver(std::move(answer), done);
    }
    WakeWaiters();
  });
}

void FakeStore::WakeWaiters() {
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    control::StoreAnswer answer = state_.Changes(it->watch);
    const bool is_over = it->end <= queue_->now();
    if (answer.key_values.empty() && !is_over) {
      ++it;
      continue;
    }
    if (faults_.is_down || random_.Unit() < faults_.lost_answer) {
      answer = control::StoreAnswer();
    }
    Deliver(std::move(answer), it->done);
    it = waiters_.erase(it);
  }
}

std::string FakeStore::Peek(const std::string& key) const {
  const control::StoreAnswer answer = state_.Get({key});
  return answer.key_values.empty() ? "" : answer.key_values[0].value;
}

std::map<std::string, std::string> FakeStore::PeekRange(
    const std::string& prefix) const {
  std::map<std::string, std::string> values;
  for (const auto& item : state_.Range({prefix, prefix, 1 << 20}).key_values) {
    values[item.key] = item.value;
  }
  return values;
}

std::multimap<std::string, std::string> FakeStore::Created(
    const std::string& prefix) const {
  std::multimap<std::string, std::string> created;
  for (const auto& [key, value] : created_) {
    if (key.compare(0, prefix.size(), prefix) == 0) {
      created.emplace(key, value);
    }
  }
  return created;
}

}  // namespace baobabwall::test
