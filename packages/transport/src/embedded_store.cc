#include "transport/src/embedded_store.h"

#include <chrono>
#include <utility>

#include "absl/strings/match.h"
#include "transport/src/steady_clock.h"

namespace baobabwall::transport {
namespace internal {

constexpr std::chrono::milliseconds kWatchCheckInterval(50);

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
      request.key, found->second.data, found->second.revision, false));
  return answer;
}

control::StoreAnswer KeyValueState::Range(
    const control::StoreRange& request) const {
  control::StoreAnswer answer;
  answer.revision = revision_;
  answer.status = control::StoreStatus::kOk;
  const std::string& first_key = std::max(request.first, request.prefix);
  const auto begin = request.after.empty() ? values_.lower_bound(first_key)
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
        it->first, it->second.data, it->second.revision, false));
  }
  return answer;
}

control::StoreAnswer KeyValueState::CompareAndSwap(
    const control::StoreCompareAndSwap& request) {
  control::StoreAnswer answer;
  answer.revision = revision_;
  const auto found = values_.find(request.key);
  const bool is_present = found != values_.end() && !found->second.is_deleted;
  const int64_t current_revision = is_present ? found->second.revision : 0;
  if (current_revision != request.expected_revision) {
    answer.status = control::StoreStatus::kConflict;
    if (is_present) {
      answer.key_values.push_back(internal::ToKeyValue(
          request.key, found->second.data, current_revision, false));
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
  answer.lease = ++last_lease_id_;
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
  if (found == leases_.end() || found->second.expiry_time <= now) {
    answer.status = control::StoreStatus::kNotFound;
    return answer;
  }
  found->second.expiry_time = now + found->second.ttl;
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
  if (found != leases_.end() && found->second.expiry_time > now) {
    found->second.expiry_time = now;
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
    answer.key_values.push_back(internal::ToKeyValue(it->first, it->second.data,
                                                     it->second.revision,
                                                     it->second.is_deleted));
  }
  return answer;
}

bool KeyValueState::ExpireLeases(absl::Time now) {
  bool has_deleted_keys = false;
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.expiry_time > now) {
      ++lease;
      continue;
    }
    for (auto& [key, value] : values_) {
      if (value.lease != lease->first || value.is_deleted) {
        continue;
      }
      value = {"", ++revision_, 0, true};
      has_deleted_keys = true;
    }
    lease = leases_.erase(lease);
  }
  return has_deleted_keys;
}

EmbeddedStore::EmbeddedStore() : thread_([this] { Run(); }) {}

EmbeddedStore::~EmbeddedStore() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    is_stopping_ = true;
  }
  wake_condition_.notify_all();
  thread_.join();
}

control::StoreAnswer EmbeddedStore::Execute(
    const control::StoreRequest& request) {
  const absl::Time now = SteadyNow();
  struct RequestVisitor {
    KeyValueState* state;
    absl::Time now;
    control::StoreAnswer operator()(const control::StoreGet& operation) {
      return state->Get(operation);
    }
    control::StoreAnswer operator()(const control::StoreRange& operation) {
      return state->Range(operation);
    }
    control::StoreAnswer operator()(
        const control::StoreCompareAndSwap& operation) {
      return state->CompareAndSwap(operation);
    }
    control::StoreAnswer operator()(const control::StoreLeaseGrant& operation) {
      return state->Grant(operation, now);
    }
    control::StoreAnswer operator()(
        const control::StoreLeaseKeepAlive& operation) {
      return state->KeepAlive(operation, now);
    }
    control::StoreAnswer operator()(const control::StoreLeaseEnd& operation) {
      return state->EndLease(operation, now);
    }
    control::StoreAnswer operator()(const control::StoreWatch& operation) {
      return state->Changes(operation);
    }
  };
  return std::visit(RequestVisitor{&state_, now}, request);
}

void EmbeddedStore::Start(control::StoreCall call, Done done) {
  control::StoreAnswer answer;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (const auto* watch = std::get_if<control::StoreWatch>(&call.request)) {
      pending_watches_.push_back(
          {call.id, *watch, SteadyNow() + watch->timeout, std::move(done)});
      wake_condition_.notify_all();
      return;
    }
    answer = Execute(call.request);
  }
  wake_condition_.notify_all();
  answer.id = call.id;
  done(std::move(answer));
}

void EmbeddedStore::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!is_stopping_) {
    const absl::Time now = SteadyNow();
    state_.ExpireLeases(now);
    std::vector<std::pair<Done, control::StoreAnswer>> completed_calls;
    for (auto pending_watch = pending_watches_.begin();
         pending_watch != pending_watches_.end();) {
      control::StoreAnswer answer = state_.Changes(pending_watch->watch);
      if (answer.key_values.empty() && pending_watch->deadline > now) {
        ++pending_watch;
        continue;
      }
      answer.id = pending_watch->id;
      completed_calls.emplace_back(std::move(pending_watch->done),
                                   std::move(answer));
      pending_watch = pending_watches_.erase(pending_watch);
    }
    lock.unlock();
    for (auto& [done, answer] : completed_calls) {
      done(std::move(answer));
    }
    lock.lock();
    if (completed_calls.empty()) {
      wake_condition_.wait_for(lock, internal::kWatchCheckInterval);
    }
  }
}

}  // namespace baobabwall::transport
