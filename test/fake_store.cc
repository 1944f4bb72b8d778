#include "fake_store.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

namespace baobabwall::test {

absl::Duration FakeStore::RandomDelay() {
  return faults_.min_delay +
         (faults_.max_delay - faults_.min_delay) * random_.Unit();
}

void FakeStore::CountCall(const control::StoreRequest& request) {
  if (std::holds_alternative<control::StoreGet>(request) ||
      std::holds_alternative<control::StoreRange>(request) ||
      std::holds_alternative<control::StoreWatch>(request)) {
    ++reads_;
    int64_t& reads_in_second =
        reads_by_second_[absl::ToUnixSeconds(queue_->now())];
    peak_reads_per_s_ = std::max(peak_reads_per_s_, ++reads_in_second);
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
            created_values_.emplace(value.key, value.value);
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
          const transport::KeyValueState& state =
              is_stale ? stale_state_ : state_;
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

void FakeStore::Deliver(control::StoreAnswer answer,
                        const AnswerCallback& done) {
  queue_->After(RandomDelay(),
                [answer = std::move(answer), done] { done(answer); });
}

void FakeStore::Start(const control::StoreCall& call,
                      bool is_reachable,
                      AnswerCallback done) {
  CountCall(call.request);
  control::StoreAnswer unknown;
  unknown.id = call.id;
  if (!is_reachable || faults_.is_down ||
      random_.Unit() < faults_.call_loss_ratio) {
    queue_->After(kCallTimeout, [unknown, done] { done(unknown); });
    return;
  }
  queue_->After(RandomDelay(), [this, call, unknown, done] {
    const auto* watch = std::get_if<control::StoreWatch>(&call.request);
    control::StoreAnswer answer = Execute(call.request);
    answer.id = call.id;
    if (watch != nullptr && answer.key_values.empty()) {
      auto callback = [done, id = call.id](control::StoreAnswer changes) {
        changes.id = id;
        done(changes);
      };
      pending_watches_.push_back(
          {*watch, callback, queue_->now() + watch->timeout});
      queue_->After(watch->timeout, [this] { CompleteWatches(); });
      return;
    }
    if (random_.Unit() < faults_.answer_loss_ratio) {
      queue_->After(kCallTimeout, [unknown, done] { done(unknown); });
    } else {
      Deliver(std::move(answer), done);
    }
    CompleteWatches();
  });
}

void FakeStore::CompleteWatches() {
  for (auto it = pending_watches_.begin(); it != pending_watches_.end();) {
    control::StoreAnswer answer = state_.Changes(it->watch);
    const bool is_expired = it->end_time <= queue_->now();
    if (answer.key_values.empty() && !is_expired) {
      ++it;
      continue;
    }
    if (faults_.is_down || random_.Unit() < faults_.answer_loss_ratio) {
      answer = control::StoreAnswer();
    }
    Deliver(std::move(answer), it->done);
    it = pending_watches_.erase(it);
  }
}

std::string FakeStore::Peek(const std::string& key) const {
  const control::StoreAnswer answer = state_.Get({key});
  return answer.key_values.empty() ? "" : answer.key_values[0].value;
}

std::map<std::string, std::string> FakeStore::PeekPrefix(
    const std::string& prefix) const {
  std::map<std::string, std::string> values;
  for (const auto& item : state_.Range({prefix, prefix, 1 << 20}).key_values) {
    values[item.key] = item.value;
  }
  return values;
}

std::multimap<std::string, std::string> FakeStore::CreatedValues(
    const std::string& prefix) const {
  std::multimap<std::string, std::string> created;
  for (const auto& [key, value] : created_values_) {
    if (key.compare(0, prefix.size(), prefix) == 0) {
      created.emplace(key, value);
    }
  }
  return created;
}

}  // namespace baobabwall::test
