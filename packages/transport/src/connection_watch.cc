#include "transport/src/connection_watch.h"
#include "transport/src/steady_clock.h"

#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <vector>

namespace baobabwall::transport {
namespace internal {

constexpr std::chrono::milliseconds kCheckInterval(20);
// Waking the thread costs the exchange that does it 10 us, so the thread
// sleeps only after a second without exchanges.
constexpr int kIdleChecks = 50;

}  // namespace internal

ConnectionWatch::ConnectionWatch() : thread_([this] { Run(); }) {}

ConnectionWatch::~ConnectionWatch() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    is_stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

ConnectionWatch::Id ConnectionWatch::Add(int target_socket,
                                         int caller_socket,
                                         absl::Time deadline) {
  std::lock_guard<std::mutex> lock(mutex_);
  entries_[++last_id_] = {target_socket, caller_socket, deadline,
                          AbortReason::kNone};
  if (is_asleep_) {
    is_asleep_ = false;
    wake_.notify_all();
  }
  return last_id_;
}

void ConnectionWatch::Extend(Id id, absl::Time deadline) {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto entry = entries_.find(id);
  if (entry != entries_.end()) {
    entry->second.deadline = deadline;
  }
}

void ConnectionWatch::CutAll() {
  std::lock_guard<std::mutex> lock(mutex_);
  is_cutting_ = true;
}

ConnectionWatch::AbortReason ConnectionWatch::Remove(Id id) {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto entry = entries_.find(id);
  if (entry == entries_.end()) {
    return AbortReason::kNone;
  }
  const AbortReason cut = entry->second.cut;
  entries_.erase(entry);
  return cut;
}

void ConnectionWatch::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  int idle_checks = 0;
  while (!is_stopping_) {
    if (entries_.empty() && ++idle_checks > internal::kIdleChecks) {
      is_asleep_ = true;
      wake_.wait(lock, [&] { return is_stopping_ || !is_asleep_; });
    }
    if (!entries_.empty()) {
      idle_checks = 0;
    }
    wake_.wait_for(lock, internal::kCheckInterval,
                   [&] { return is_stopping_; });
    Check(SteadyNow());
  }
}

void ConnectionWatch::Check(absl::Time now) {
  std::vector<pollfd> polled;
  std::vector<Entry*> owners;
  for (auto& [id, entry] : entries_) {
    if (entry.cut != AbortReason::kNone) {
      continue;
    }
    if (entry.deadline <= now || is_cutting_) {
      entry.cut = AbortReason::kTimedOut;
      shutdown(entry.target_socket, SHUT_RDWR);
      continue;
    }
    if (entry.caller_socket >= 0) {
      polled.push_back({entry.caller_socket, POLLRDHUP, 0});
      owners.push_back(&entry);
    }
  }
  if (polled.empty() || poll(polled.data(), polled.size(), 0) <= 0) {
    return;
  }
  for (size_t i = 0; i < polled.size(); ++i) {
    if (polled[i].revents == 0) {
      continue;
    }
    owners[i]->cut = AbortReason::kCallerDisconnected;
    shutdown(owners[i]->target_socket, SHUT_RDWR);
  }
}

}  // namespace baobabwall::transport
