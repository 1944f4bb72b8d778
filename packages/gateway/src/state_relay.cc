#include "gateway/src/state_relay.h"

#include <optional>
#include <utility>

namespace baobabwall::gateway {
namespace internal {

/// Most bytes of an answer: a reader sends it to tens of followers at once, and
/// its link may carry 10 Mbit/s. What is larger is read from the store.
constexpr size_t kMaxAnswerBytes = 32 * 1024;

bool IsLarge(const control::StoreAnswer& answer) {
  size_t bytes = 0;
  for (const control::StoreKeyValue& item : answer.key_values) {
    bytes += item.key.size() + item.value.size();
  }
  return bytes > kMaxAnswerBytes;
}

control::StoreAnswer WithoutKeys(control::StoreStatus status) {
  control::StoreAnswer answer;
  answer.status = status;
  return answer;
}

/// \returns the answer, or that it is not to be had here if it is large.
control::StoreAnswer UnlessLarge(control::StoreAnswer answer) {
  return IsLarge(answer) ? WithoutKeys(control::StoreStatus::kNotFound)
                         : std::move(answer);
}

}  // namespace internal

StateRelay::StateRelay(const StateMirror* mirror, Answer answer)
    : mirror_(mirror), answer_(std::move(answer)) {}

control::StoreAnswer StateRelay::Refusal() const {
  return internal::WithoutKeys(state_ == State::kStoreLost
                                   ? control::StoreStatus::kRefused
                                   : control::StoreStatus::kNotFound);
}

void StateRelay::OnCall(PeerCallId id,
                        const control::StoreRequest& request,
                        absl::Time now) {
  if (state_ != State::kServing) {
    answer_(id, Refusal());
    return;
  }
  if (std::holds_alternative<control::StoreRange>(request)) {
    answer_(id, internal::UnlessLarge(mirror_->Range()));
    return;
  }
  const auto* watch = std::get_if<control::StoreWatch>(&request);
  if (watch == nullptr) {
    answer_(id, internal::WithoutKeys(control::StoreStatus::kNotFound));
    return;
  }
  watches_[id] = {watch->after_revision, now + watch->timeout};
  OnTick(state_, now);
}

void StateRelay::OnTick(State state, absl::Time now) {
  state_ = state;
  for (auto next = watches_.begin(); next != watches_.end();) {
    const auto watch = next++;
    std::optional<control::StoreAnswer> answer;
    if (state_ == State::kServing) {
      answer = mirror_->ChangesAfter(watch->second.after_revision);
      if (answer) {
        answer = internal::UnlessLarge(*std::move(answer));
      }
    } else {
      answer = Refusal();
    }
    if (!answer && now >= watch->second.until) {
      answer = mirror_->NoChange();
    }
    if (!answer) {
      continue;
    }
    const PeerCallId id = watch->first;
    watches_.erase(watch);
    answer_(id, std::move(*answer));
  }
}

}  // namespace baobabwall::gateway
