#include "gateway/src/state_relay.h"

#include <optional>
#include <utility>

namespace baobabwall::gateway {

StateRelay::StateRelay(const StateMirror* mirror, Answer answer)
    : mirror_(mirror), answer_(std::move(answer)) {}

control::StoreAnswer StateRelay::Refusal() const {
  control::StoreAnswer refusal;
  refusal.status = state_ == State::kStoreLost
                       ? control::StoreStatus::kRefused
                       : control::StoreStatus::kNotFound;
  return refusal;
}

void StateRelay::OnCall(PeerCallId id,
                        const control::StoreRequest& request,
                        absl::Time now) {
  if (state_ != State::kServing) {
    answer_(id, Refusal());
    return;
  }
  if (std::holds_alternative<control::StoreRange>(request)) {
    answer_(id, mirror_->Range());
    return;
  }
  const auto* watch = std::get_if<control::StoreWatch>(&request);
  if (watch == nullptr) {
    control::StoreAnswer unknown;
    unknown.status = control::StoreStatus::kNotFound;
    answer_(id, std::move(unknown));
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
