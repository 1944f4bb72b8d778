#include "gateway/src/state_relay.h"

#include <optional>
#include <utility>

namespace baobabwall::gateway {
namespace internal {

/// Maximum size of an answer. A reader sends an answer to tens of followers at
/// once, and its link may have only 10 Mbit/s. Followers read larger changes
/// from the store.
constexpr size_t kMaxAnswerBytes = 32 * 1024;

bool IsTooLarge(const control::StoreAnswer& answer) {
  size_t bytes = 0;
  for (const control::StoreKeyValue& item : answer.key_values) {
    bytes += item.key.size() + item.value.size();
  }
  return bytes > kMaxAnswerBytes;
}

control::StoreAnswer EmptyAnswer(control::StoreStatus status) {
  control::StoreAnswer answer;
  answer.status = status;
  return answer;
}

/// \returns the answer, or status kNotFound if the answer is too large.
control::StoreAnswer NotFoundIfTooLarge(control::StoreAnswer answer) {
  return IsTooLarge(answer) ? EmptyAnswer(control::StoreStatus::kNotFound)
                            : std::move(answer);
}

}  // namespace internal

StateRelay::StateRelay(const StateMirror* mirror, Answer answer)
    : mirror_(mirror), answer_callback_(std::move(answer)) {}

control::StoreAnswer StateRelay::RefusalAnswer() const {
  return internal::EmptyAnswer(state_ == State::kStoreUnreachable
                                   ? control::StoreStatus::kRefused
                                   : control::StoreStatus::kNotFound);
}

void StateRelay::OnCall(PeerCallId id,
                        const control::StoreRequest& request,
                        absl::Time now) {
  if (state_ != State::kServing) {
    answer_callback_(id, RefusalAnswer());
    return;
  }
  if (std::holds_alternative<control::StoreRange>(request)) {
    answer_callback_(id, internal::NotFoundIfTooLarge(mirror_->Range()));
    return;
  }
  const auto* watch = std::get_if<control::StoreWatch>(&request);
  if (watch == nullptr) {
    answer_callback_(id,
                     internal::EmptyAnswer(control::StoreStatus::kNotFound));
    return;
  }
  pending_watches_[id] = {watch->after_revision, now + watch->timeout};
  OnTick(state_, now);
}

void StateRelay::OnTick(State state, absl::Time now) {
  state_ = state;
  for (auto next = pending_watches_.begin(); next != pending_watches_.end();) {
    const auto watch = next++;
    std::optional<control::StoreAnswer> answer;
    if (state_ == State::kServing) {
      answer = mirror_->ChangesAfter(watch->second.after_revision);
      if (answer) {
        answer = internal::NotFoundIfTooLarge(*std::move(answer));
      }
    } else {
      answer = RefusalAnswer();
    }
    if (!answer && now >= watch->second.deadline) {
      answer = mirror_->NoChangeAnswer();
    }
    if (!answer) {
      continue;
    }
    const PeerCallId id = watch->first;
    pending_watches_.erase(watch);
    answer_callback_(id, std::move(*answer));
  }
}

}  // namespace baobabwall::gateway
