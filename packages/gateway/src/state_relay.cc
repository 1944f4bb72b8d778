#include "gateway/src/state_relay.h"

#include <utility>

namespace baobabwall::gateway {
namespace internal {

std::shared_ptr<const control::StoreAnswer> EmptyAnswer(
    control::StoreStatus status) {
  auto answer = std::make_shared<control::StoreAnswer>();
  answer->status = status;
  return answer;
}

}  // namespace internal

StateRelay::StateRelay(const StateMirror* mirror, Answer answer)
    : mirror_(mirror), answer_callback_(std::move(answer)) {}

StateRelay::SharedAnswer StateRelay::RefusalAnswer() const {
  return internal::EmptyAnswer(state_ == State::kStoreUnreachable
                                   ? control::StoreStatus::kRefused
                                   : control::StoreStatus::kNotFound);
}

StateRelay::SharedAnswer StateRelay::HistoryGoneAnswer() const {
  auto answer =
      std::make_shared<control::StoreAnswer>(mirror_->NoChangeAnswer());
  answer->status = control::StoreStatus::kHistoryGone;
  return answer;
}

void StateRelay::OnCall(PeerCallId id,
                        const control::StoreRequest& request,
                        absl::Time now) {
  const auto* watch = std::get_if<control::StoreWatch>(&request);
  const bool is_read =
      watch != nullptr || std::holds_alternative<control::StoreRange>(request);
  if (!is_read) {
    answer_callback_(id,
                     internal::EmptyAnswer(control::StoreStatus::kNotFound));
    return;
  }
  PendingCall call;
  call.deadline = now + (watch == nullptr ? kMaxRangeWait : watch->timeout);
  if (watch != nullptr) {
    call.after_revision = watch->after_revision;
    call.era = watch->era;
  }
  if (SharedAnswer answer = AnswerTo(call, now)) {
    answer_callback_(id, std::move(answer));
    return;
  }
  pending_calls_[id] = call;
}

StateRelay::SharedAnswer StateRelay::Read(
    std::optional<int64_t> after_revision) {
  const StatePosition position = {mirror_->era(), mirror_->revision()};
  if (!(answers_position_ == position)) {
    answers_.clear();
    answers_position_ = position;
  }
  const auto known = answers_.find(after_revision);
  if (known != answers_.end()) {
    return known->second;
  }
  SharedAnswer answer;
  if (!after_revision) {
    answer = std::make_shared<const control::StoreAnswer>(mirror_->Range());
  } else if (auto changes = mirror_->ChangesAfter(*after_revision)) {
    answer = std::make_shared<const control::StoreAnswer>(*std::move(changes));
  }
  answers_.emplace(after_revision, answer);
  return answer;
}

StateRelay::SharedAnswer StateRelay::AnswerTo(const PendingCall& call,
                                              absl::Time now) {
  if (call.era != 0 && call.era < mirror_->era()) {
    return HistoryGoneAnswer();
  }
  if (call.era > mirror_->era()) {
    return internal::EmptyAnswer(control::StoreStatus::kNotFound);
  }
  const bool is_expired = now >= call.deadline;
  if (state_ == State::kStarting && !is_expired) {
    return nullptr;
  }
  if (state_ != State::kServing) {
    return RefusalAnswer();
  }
  if (SharedAnswer answer = Read(call.after_revision)) {
    return answer;
  }
  return is_expired ? std::make_shared<const control::StoreAnswer>(
                          mirror_->NoChangeAnswer())
                    : nullptr;
}

void StateRelay::OnTick(State state, absl::Time now) {
  state_ = state;
  for (auto next = pending_calls_.begin(); next != pending_calls_.end();) {
    const auto call = next++;
    SharedAnswer answer = AnswerTo(call->second, now);
    if (answer == nullptr) {
      continue;
    }
    const PeerCallId id = call->first;
    pending_calls_.erase(call);
    answer_callback_(id, std::move(answer));
  }
}

}  // namespace baobabwall::gateway
