#include "daemon/src/traffic.h"

#include <utility>

#include "control/control.h"

namespace baobabwall::daemon {
namespace internal {

constexpr int kHttpServiceUnavailable = 503;
constexpr absl::Duration kRetryAfter = absl::Seconds(1);

steer::RequestId RequestIdOf(const steer::Action& action) {
  return std::visit([](const auto& value) { return value.request; }, action);
}

}  // namespace internal

Traffic::Traffic(std::unique_ptr<steer::Engine> engine,
                 std::function<absl::Time()> now)
    : engine_(std::move(engine)),
      now_(std::move(now)),
      snapshot_(std::make_shared<steer::Snapshot>()) {}

steer::RequestId Traffic::NewRequestId() {
  return ++last_request_id_;
}

void Traffic::Publish(std::shared_ptr<const steer::Snapshot> snapshot) {
  {
    std::lock_guard<std::mutex> lock(snapshot_mutex_);
    snapshot_ = snapshot;
  }
  std::lock_guard<std::mutex> lock(mutex_);
  DeliverActions(engine_->Publish(std::move(snapshot), now_()));
}

std::shared_ptr<const steer::Snapshot> Traffic::snapshot() const {
  std::lock_guard<std::mutex> lock(snapshot_mutex_);
  return snapshot_;
}

void Traffic::DeliverActions(steer::Actions actions) {
  for (steer::Action& action : actions) {
    const auto mailbox = mailboxes_.find(internal::RequestIdOf(action));
    if (mailbox == mailboxes_.end()) {
      continue;
    }
    mailbox->second->actions.push_back(std::move(action));
    mailbox->second->delivered.notify_one();
  }
}

void Traffic::SubmitRequest(const steer::RequestArrival& arrival) {
  std::lock_guard<std::mutex> lock(mutex_);
  mailboxes_[arrival.id] = std::make_unique<Mailbox>();
  if (now_() - last_tick_time_ > control::kPauseGap) {
    steer::AnswerCaller refusal;
    refusal.request = arrival.id;
    refusal.status = internal::kHttpServiceUnavailable;
    // An earlier copy of a request with an idempotency key may have run before
    // the pause.
    refusal.outcome = arrival.idempotency_key.empty() ? base::Outcome::kNotRun
                                                      : base::Outcome::kUnknown;
    refusal.retry_after = internal::kRetryAfter;
    refusal.reason = "the instance was paused";
    DeliverActions({std::move(refusal)});
    return;
  }
  DeliverActions(engine_->OnArrival(arrival, now_()));
}

std::optional<steer::Action> Traffic::NextAction(steer::RequestId request) {
  std::unique_lock<std::mutex> lock(mutex_);
  const auto found = mailboxes_.find(request);
  if (found == mailboxes_.end()) {
    return std::nullopt;
  }
  Mailbox* mailbox = found->second.get();
  mailbox->delivered.wait(lock, [&] { return !mailbox->actions.empty(); });
  steer::Action action = std::move(mailbox->actions.front());
  mailbox->actions.erase(mailbox->actions.begin());
  if (std::holds_alternative<steer::AnswerCaller>(action)) {
    mailboxes_.erase(request);
  }
  return action;
}

bool Traffic::StartAnswer(steer::RequestId request, steer::AttemptId attempt) {
  std::lock_guard<std::mutex> lock(mutex_);
  return engine_->OnAnswerStart(request, attempt);
}

bool Traffic::EndAttempt(const steer::AttemptEnd& end) {
  std::lock_guard<std::mutex> lock(mutex_);
  DeliverActions(engine_->OnAttemptEnd(end, now_()));
  const auto mailbox = mailboxes_.find(end.request);
  if (mailbox == mailboxes_.end()) {
    return true;
  }
  if (!end.was_answer_started || !mailbox->second->actions.empty()) {
    return false;
  }
  mailboxes_.erase(mailbox);
  return true;
}

void Traffic::OnCallerDisconnected(steer::RequestId request) {
  std::lock_guard<std::mutex> lock(mutex_);
  DeliverActions(engine_->OnCallerDisconnected(request, now_()));
  mailboxes_.erase(request);
}

void Traffic::Tick() {
  std::lock_guard<std::mutex> lock(mutex_);
  last_tick_time_ = now_();
  DeliverActions(engine_->OnTick(last_tick_time_));
}

std::vector<steer::Observation> Traffic::TakeObservations() {
  std::lock_guard<std::mutex> lock(mutex_);
  return engine_->TakeObservations();
}

std::vector<steer::QuarantineNotice> Traffic::TakeQuarantineNotices() {
  std::lock_guard<std::mutex> lock(mutex_);
  return engine_->TakeQuarantineNotices();
}

size_t Traffic::in_flight() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return engine_->in_flight();
}

std::map<std::string, int, std::less<>> Traffic::slots_in_use() const {
  const auto current_snapshot = snapshot();
  std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, int, std::less<>> in_use;
  for (const steer::BackendView& backend : current_snapshot->backends) {
    const int count = engine_->InUse(backend.name);
    if (count > 0) {
      in_use[backend.name] = count;
    }
  }
  return in_use;
}

}  // namespace baobabwall::daemon
