#include "daemon/src/traffic.h"

#include <utility>

#include "control/control.h"

namespace baobabwall::daemon {
namespace internal {

constexpr int kUnavailable = 503;
constexpr absl::Duration kRetryAfter = absl::Seconds(1);

steer::RequestId RequestOf(const steer::Action& action) {
  return std::visit([](const auto& value) { return value.request; }, action);
}

}  // namespace internal

Traffic::Traffic(std::unique_ptr<steer::Engine> engine,
                 std::function<absl::Time()> now)
    : engine_(std::move(engine)),
      now_(std::move(now)),
      snapshot_(std::make_shared<steer::Snapshot>()) {}

steer::RequestId Traffic::NextId() {
  return ++last_id_;
}

void Traffic::Publish(std::shared_ptr<const steer::Snapshot> snapshot) {
  {
    std::lock_guard<std::mutex> lock(snapshot_mutex_);
    snapshot_ = snapshot;
  }
  std::lock_guard<std::mutex> lock(mutex_);
  Deliver(engine_->Publish(std::move(snapshot), now_()));
}

std::shared_ptr<const steer::Snapshot> Traffic::snapshot() const {
  std::lock_guard<std::mutex> lock(snapshot_mutex_);
  return snapshot_;
}

void Traffic::Deliver(steer::Actions actions) {
  for (steer::Action& action : actions) {
    const auto mailbox = mailboxes_.find(internal::RequestOf(action));
    if (mailbox == mailboxes_.end()) {
      continue;
    }
    mailbox->second->actions.push_back(std::move(action));
    mailbox->second->delivered.notify_one();
  }
}

void Traffic::Arrive(const steer::RequestArrival& arrival) {
  std::lock_guard<std::mutex> lock(mutex_);
  mailboxes_[arrival.id] = std::make_unique<Mailbox>();
  if (now_() - last_tick_ > control::kPauseGap) {
    steer::AnswerCaller refusal;
    refusal.request = arrival.id;
    refusal.status = internal::kUnavailable;
    // A copy of a keyed request may have run before the pause.
    refusal.outcome = arrival.idempotency_key.empty() ? base::Outcome::kNotRun
                                                      : base::Outcome::kUnknown;
    refusal.retry_after = internal::kRetryAfter;
    refusal.reason = "the instance was paused";
    Deliver({std::move(refusal)});
    return;
  }
  Deliver(engine_->OnArrival(arrival, now_()));
}

std::optional<steer::Action> Traffic::Next(steer::RequestId request) {
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
  Deliver(engine_->OnAttemptEnd(end, now_()));
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

void Traffic::CallerGone(steer::RequestId request) {
  std::lock_guard<std::mutex> lock(mutex_);
  Deliver(engine_->OnCallerDisconnected(request, now_()));
  mailboxes_.erase(request);
}

void Traffic::Tick() {
  std::lock_guard<std::mutex> lock(mutex_);
  last_tick_ = now_();
  Deliver(engine_->OnTick(last_tick_));
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
  const auto present = snapshot();
  std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, int, std::less<>> in_use;
  for (const steer::BackendView& backend : present->backends) {
    const int count = engine_->InUse(backend.name);
    if (count > 0) {
      in_use[backend.name] = count;
    }
  }
  return in_use;
}

}  // namespace baobabwall::daemon
