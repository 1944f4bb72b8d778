#include "transport/src/embedded_store.h"

#include <chrono>
#include <utility>

#include "absl/strings/match.h"
#include "transport/src/steady_clock.h"

namespace baobabwall::transport {
namespace internal {

constexpr std::chrono::milliseconds kWaiterCheckInterval(50);

control::StoreKeyValue ToKeyValue(const std::string& key,
                                  const std::string& value,
                                  int64_t revision,
                                  bool is_deleted) {
  return {key, value, revision, is_deleted};
}

}  // namespace internal

control::StoreAnswer KeyValueState::Get(
    const control::StoreGet& request) const {
  control::StoreAnswer answer;
  answer.revision = revision_;
  const auto found = values_.find(request.key);
  if (found == values_.end() || found->second.is_deleted) {
    answer.status = control::StoreStatus::kNotFound;
    return answer;
  }
  answer.status = control::StoreStatus::kOk;
  answer.key_values.push_back(internal::ToKeyValue(
      request.key, found->second.text, found->second.revision, false));
  return answer;
}

control::StoreAnswer KeyValueState::Range(
    const control::StoreRange& request) const {
  control::StoreAnswer answer;
  answer.revision = revision_;
  answer.status = control::StoreStatus::kOk;
  const std::string& first = std::max(request.first, request.prefix);
  const auto begin = request.after.empty() ? values_.lower_bound(first)
                                           : values_.upper_bound(request.after);
  for (auto it = begin;
       it != values_.end() && absl::StartsWith(it->first, request.prefix);
       ++it) {
    if (it->second.is_deleted) {
      continue;
    }
    if (static_cast<int>(answer.key_values.size()) >= request.limit) {
      answer.has_more = true;
      break;
    }
    answer.key_values.push_back(internal::ToKeyValue(
        it->first, it->second.text, it->second.revision, false));
  }
  return answer;
}

control::StoreAnswer KeyValueState::CompareAndSwap(
    const control::StoreCompareAndSwap& request) {
  control::StoreAnswer answer;
  answer.revision = revision_;
  const auto found = values_.find(request.key);
  const bool is_present = found != values_.end() && !found->second.is_deleted;
  const int64_t present = is_present ? found->second.revision : 0;
  if (present != request.expected_revision) {
    answer.status = control::StoreStatus::kConflict;
    if (is_present) {
      answer.key_values.push_back(internal::ToKeyValue(
          request.key, found->second.text, present, false));
    }
    return answer;
  }
  if (request.lease != 0 && leases_.count(request.lease) == 0) {
    answer.status = control::StoreStatus::kNotFound;
    return answer;
  }
  ++revision_;
  values_[request.key] = {request.value, revision_, request.lease,
                          request.is_delete};
  answer.revision = revision_;
  answer.status = control::StoreStatus::kOk;
  return answer;
}

control::StoreAnswer KeyValueState::Grant(
    const control::StoreLeaseGrant& request,
    absl::Time now) {
  control::StoreAnswer answer;
  answer.revision = revision_;
  answer.status = control::StoreStatus::kOk;
  answer.lease = ++last_lease_;
  leases_[answer.lease] = {request.ttl, now + request.ttl};
  return answer;
}

control::StoreAnswer KeyValueState::KeepAlive(
    const control::StoreLeaseKeepAlive& request,
    absl::Time now) {
  control::StoreAnswer answer;
  answer.revision = revision_;
  answer.lease = request.lease;
  const auto found = leases_.find(request.lease);
  if (found == leases_.end() || found->second.end <= now) {
    answer.status = control::StoreStatus::kNotFound;
    return answer;
  }
  found->second.end = now + found->second.ttl;
  answer.status = control::StoreStatus::kOk;
  return answer;
}

control::StoreAnswer KeyValueState::EndLease(
    const control::StoreLeaseEnd& request,
    absl::Time now) {
  control::StoreAnswer answer;
  answer.lease = request.lease;
  answer.status = control::StoreStatus::kNotFound;
  const auto found = leases_.find(request.lease);
  if (found != leases_.end() && found->second.end > now) {
    found->second.end = now;
    answer.status = control::StoreStatus::kOk;
    ExpireLeases(now);
  }
  answer.revision = revision_;
  return answer;
}

control::StoreAnswer KeyValueState::Changes(
    const control::StoreWatch& request) const {
  control::StoreAnswer answer;
  answer.revision = revision_;
  answer.status = control::StoreStatus::kOk;
  for (auto it = values_.lower_bound(request.prefix);
       it != values_.end() && absl::StartsWith(it->first, request.prefix);
       ++it) {
    if (it->second.revision <= request.after_revision) {
      continue;
    }
    answer.key_values.push_back(internal::ToKeyValue(it->first, it->second.text,
                                                     it->second.revision,
                                                     it->second.is_deleted));
  }
  return answer;
}

bool KeyValueState::ExpireLeases(absl::Time now) {
  bool any_deleted = false;
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.end > now) {
      ++lease;
      continue;
    }
    for (auto& [key, value] : values_) {
      if (value.lease != lease->first || value.is_deleted) {
        continue;
      }
      value = {"", ++revision_, 0, true};
      any_deleted = true;
    }
    lease = leases_.erase(lease);
  }
  return any_deleted;
}

EmbeddedStore::EmbeddedStore() : thread_([this] { Run(); }) {}

EmbeddedStore::~EmbeddedStore() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    is_stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

control::StoreAnswer EmbeddedStore::Execute(
    const control::StoreRequest& request) {
  const absl::Time now = SteadyNow();
  struct Visitor {
    KeyValueState* state;
    absl::Time now;
    control::StoreAnswer operator()(const control::StoreGet& r) {
      return state->Get(r);
    }
    control::StoreAnswer operator()(const control::StoreRange& r) {
      return state->Range(r);
    }
    control::StoreAnswer operator()(const control::StoreCompareAndSwap& r) {
      return state->CompareAndSwap(r);
    }
    control::StoreAnswer operator()(const control::StoreLeaseGrant& r) {
      return state->Grant(r, now);
    }
    control::StoreAnswer operator()(const control::StoreLeaseKeepAlive& r) {
      return state->KeepAlive(r, now);
    }
    control::StoreAnswer operator()(const control::StoreLeaseEnd& r) {
      return state->EndLease(r, now);
    }
    control::StoreAnswer operator()(const control::StoreWatch& r) {
      return state->Changes(r);
    }
  };
  return std::visit(Visitor{&state_, now}, request);
}

void EmbeddedStore::Start(control::StoreCall call, Done done) {
  control::StoreAnswer answer;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (const auto* watch = std::get_if<control::StoreWatch>(&call.request)) {
      waiters_.push_back(
          {call.id, *watch, SteadyNow() + watch->timeout, std::move(done)});
      wake_.notify_all();
      return;
    }
    answer = Execute(call.request);
  }
  wake_.notify_all();
  answer.id = call.id;
  done(std::move(answer));
}

void EmbeddedStore::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!is_stopping_) {
    const absl::Time now = SteadyNow();
    state_.ExpireLeases(now);
    std::vector<std::pair<Done, control::StoreAnswer>> ended;
    for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
      control::StoreAnswer answer = state_.Changes(waiter->watch);
      if (answer.key_values.empty() && waiter->end > now) {
        ++waiter;
        continue;
      }
      answer.id = waiter->id;
      ended.emplace_back(std::move(waiter->done), std::move(answer));
      waiter = waiters_.erase(waiter);
    }
    lock.unlock();
    for (auto& [done, answer] : ended) {
      done(std::move(answer));
    }
    lock.lock();
    if (ended.empty()) {
      wake_.wait_for(lock, internal::kWaiterCheckInterval);
    }
  }
}

}  // namespace baobabwall::transport
