#include "daemon/src/control_loop.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <utility>

#include "glog/logging.h"

namespace baobabwall::daemon {

ControlLoop::ControlLoop(control::Identity identity,
                         uint64_t seed,
                         transport::StoreClient* store,
                         Traffic* traffic,
                         Hooks hooks)
    : identity_(identity),
      node_(std::move(identity), seed),
      store_(store),
      traffic_(traffic),
      hooks_(std::move(hooks)),
      configuration_(model::Configuration::Empty()) {}

ControlLoop::~ControlLoop() {
  Stop();
}

void ControlLoop::Start() {
  thread_ = std::thread([this] { Run(); });
}

void ControlLoop::Stop() {
  std::map<uint64_t, std::promise<control::WriteAnswered>> writes;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    is_stopping_ = true;
    pending_events_.clear();
    writes.swap(pending_writes_);
  }
  event_posted_.notify_all();
  configuration_published_.notify_all();
  for (auto& [id, promise] : writes) {
    control::WriteAnswered answer;
    answer.id = id;
    promise.set_value(std::move(answer));
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

absl::Duration ControlLoop::CpuTime() const {
  return absl::Nanoseconds(cpu_ns_.load());
}

void ControlLoop::Post(control::Event event) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (is_stopping_) {
      return;
    }
    pending_events_.push_back(std::move(event));
  }
  event_posted_.notify_one();
}

std::optional<control::WriteAnswered> ControlLoop::Write(
    model::ChangeBatch batch,
    absl::Duration timeout) {
  std::future<control::WriteAnswered> answer;
  control::WriteRequested request;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (is_stopping_) {
      return {};
    }
    request.id = ++last_write_id_;
    answer = pending_writes_[request.id].get_future();
  }
  const uint64_t id = request.id;
  request.batch = std::move(batch);
  Post(std::move(request));
  if (answer.wait_for(absl::ToChronoMilliseconds(timeout)) ==
      std::future_status::timeout) {
    std::lock_guard<std::mutex> lock(mutex_);
    if (pending_writes_.erase(id) > 0) {
      return std::nullopt;
    }
  }
  return answer.get();
}

std::shared_ptr<const model::Configuration> ControlLoop::configuration() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return configuration_;
}

ChangeHistory ControlLoop::history() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return history_;
}

std::shared_ptr<const model::Configuration> ControlLoop::WaitForRevisionAbove(
    int64_t revision,
    absl::Duration timeout) {
  std::unique_lock<std::mutex> lock(mutex_);
  configuration_published_.wait_for(
      lock, absl::ToChronoMilliseconds(timeout),
      [&] { return configuration_->revision() > revision || is_stopping_; });
  return configuration_;
}

void ControlLoop::Run() {
  absl::Time next_tick = transport::SteadyNow();
  while (true) {
    std::deque<control::Event> events;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      const absl::Duration time_to_tick = next_tick - transport::SteadyNow();
      if (time_to_tick > absl::ZeroDuration()) {
        event_posted_.wait_for(
            lock, absl::ToChronoMicroseconds(time_to_tick),
            [&] { return !pending_events_.empty() || is_stopping_; });
      }
      if (is_stopping_) {
        return;
      }
      events.swap(pending_events_);
    }
    for (const control::Event& event : events) {
      ExecuteActions(node_.Handle(event, transport::SteadyNow()));
    }
    const absl::Time now = transport::SteadyNow();
    if (now < next_tick) {
      continue;
    }
    next_tick = now + control::kTickInterval;
    ExecuteActions(
        node_.Handle(control::TrafficReported{traffic_->TakeObservations(),
                                              traffic_->TakeQuarantineNotices(),
                                              traffic_->slots_in_use()},
                     now));
    ExecuteActions(node_.Handle(control::Tick(), now));
    // Traffic refuses requests after a pause until its next tick. The snapshot
    // that was just published already reflects the pause.
    traffic_->Tick();
    std::lock_guard<std::mutex> lock(mutex_);
    history_.UpdateZones(node_.zone_statuses());
    ReportEndedDrains(now);
    timespec cpu_time = {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpu_time);
    cpu_ns_ = absl::ToInt64Nanoseconds(absl::DurationFromTimespec(cpu_time));
  }
}

void ControlLoop::ReportEndedDrains(absl::Time now) {
  const auto snapshot = traffic_->snapshot();
  const auto in_use = traffic_->slots_in_use();
  for (const steer::BackendView& backend : snapshot->backends) {
    if (!backend.is_leaving) {
      leaving_since_.erase(backend.name);
      continue;
    }
    // InfinitePast() marks a drain whose end was already reported.
    absl::Time& since = leaving_since_.emplace(backend.name, now).first->second;
    if (since != absl::InfinitePast() && in_use.count(backend.name) == 0) {
      LOG(INFO) << "drain: empty server=" << backend.name
                << " time_ms=" << absl::ToInt64Milliseconds(now - since);
      hooks_.on_drain_ended(now - since);
      since = absl::InfinitePast();
    }
  }
}

void ControlLoop::ExecuteActions(control::Actions actions) {
  // Snapshots are published before writes are answered, so that a writer reads
  // its own write.
  std::stable_partition(actions.begin(), actions.end(), [](const auto& action) {
    return std::holds_alternative<control::PublishSnapshot>(action);
  });
  for (control::Action& action : actions) {
    std::visit([this](auto& value) { ExecuteAction(std::move(value)); },
               action);
  }
}

void ControlLoop::ExecuteAction(control::StoreCall action) {
  store_->Start(std::move(action),
                [this](control::StoreAnswer answer) { Post(answer); });
}

void ControlLoop::ExecuteAction(control::SendPeer action) {
  hooks_.send_peer(action);
}

void ControlLoop::ExecuteAction(control::PublishSnapshot action) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    configuration_ = action.snapshot->configuration;
    const int64_t revision = configuration_->revision();
    if (revision > history_.revision()) {
      history_.Add(revision, node_.EntriesFrom(history_.revision() + 1));
    }
  }
  configuration_published_.notify_all();
  traffic_->Publish(std::move(action.snapshot));
}

void ControlLoop::ExecuteAction(control::WriteAnswered action) {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto write = pending_writes_.find(action.id);
  if (write == pending_writes_.end()) {
    return;
  }
  write->second.set_value(std::move(action));
  pending_writes_.erase(write);
}

void ControlLoop::ExecuteAction(control::ProbeBackendServer action) {
  hooks_.probe_backend_server(action);
}

void ControlLoop::ExecuteAction(control::ReadInstanceList /*action*/) {
  hooks_.read_instance_list();
}

void ControlLoop::ExecuteAction(control::ShutdownReady /*action*/) {
  hooks_.on_shutdown_ready();
}

}  // namespace baobabwall::daemon
