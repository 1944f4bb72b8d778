#include "transport/src/connection_watch.h"
#include "transport/src/steady_clock.h"

#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <vector>

namespace baobabwall::transport {
namespace internal {

constexpr std::chrono::milliseconds kCheckInterval(20);
// If an exchange has to wake the thread, the exchange takes 10 us longer. The
// thread therefore stops its periodic checks only after 1 s without exchanges.
constexpr int kMaxIdleChecks = 50;

}  // namespace internal

ConnectionWatch::ConnectionWatch() : thread_([this] { Run(); }) {}

ConnectionWatch::~ConnectionWatch() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    is_stopping_ = true;
  }
  wake_condition_.notify_all();
  thread_.join();
}

ConnectionWatch::Id ConnectionWatch::Add(int target_socket,
                                         int caller_socket,
                                         absl::Time deadline) {
  std::lock_guard<std::mutex> lock(mutex_);
  exchanges_[++last_id_] = {target_socket, caller_socket, deadline,
                            AbortReason::kNone};
  if (is_thread_idle_) {
    is_thread_idle_ = false;
    wake_condition_.notify_all();
  }
  return last_id_;
}

void ConnectionWatch::Extend(Id id, absl::Time deadline) {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto exchange = exchanges_.find(id);
  if (exchange != exchanges_.end()) {
    exchange->second.deadline = deadline;
  }
}

void ConnectionWatch::AbortAll() {
  std::lock_guard<std::mutex> lock(mutex_);
  is_aborting_all_ = true;
}

ConnectionWatch::AbortReason ConnectionWatch::Remove(Id id) {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto exchange = exchanges_.find(id);
  if (exchange == exchanges_.end()) {
    return AbortReason::kNone;
  }
  const AbortReason abort_reason = exchange->second.abort_reason;
  exchanges_.erase(exchange);
  return abort_reason;
}

void ConnectionWatch::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  int idle_check_count = 0;
  while (!is_stopping_) {
    if (exchanges_.empty() && ++idle_check_count > internal::kMaxIdleChecks) {
      is_thread_idle_ = true;
      wake_condition_.wait(lock,
                           [&] { return is_stopping_ || !is_thread_idle_; });
    }
    if (!exchanges_.empty()) {
      idle_check_count = 0;
    }
    wake_condition_.wait_for(lock, internal::kCheckInterval,
                             [&] { return is_stopping_; });
    AbortEndedExchanges(SteadyNow());
  }
}

void ConnectionWatch::AbortEndedExchanges(absl::Time now) {
  std::vector<pollfd> poll_descriptors;
  std::vector<Exchange*> polled_exchanges;
  for (auto& [id, exchange] : exchanges_) {
    if (exchange.abort_reason != AbortReason::kNone) {
      continue;
    }
    if (exchange.deadline <= now || is_aborting_all_) {
      exchange.abort_reason = AbortReason::kTimedOut;
      shutdown(exchange.target_socket, SHUT_RDWR);
      continue;
    }
    if (exchange.caller_socket >= 0) {
      poll_descriptors.push_back({exchange.caller_socket, POLLRDHUP, 0});
      polled_exchanges.push_back(&exchange);
    }
  }
  if (poll_descriptors.empty() ||
      poll(poll_descriptors.data(), poll_descriptors.size(), 0) <= 0) {
    return;
  }
  for (size_t i = 0; i < poll_descriptors.size(); ++i) {
    if (poll_descriptors[i].revents == 0) {
      continue;
    }
    polled_exchanges[i]->abort_reason = AbortReason::kCallerDisconnected;
    shutdown(polled_exchanges[i]->target_socket, SHUT_RDWR);
  }
}

}  // namespace baobabwall::transport
