#include "edge/src/memory_budget.h"

#include <algorithm>
#include <utility>

namespace baobabwall::edge {

MemoryBudget::MemoryBudget(uint64_t limit) : limit_(limit) {
  const double bytes = static_cast<double>(limit);
  PartState& small = parts_[Index(Part::kSmallRequests)];
  PartState& answers = parts_[Index(Part::kAnswers)];
  small.size = static_cast<uint64_t>(bytes * kSmallRequestFraction);
  answers.size = static_cast<uint64_t>(bytes * kAnswerFraction);
  parts_[Index(Part::kShared)].size = limit - small.size - answers.size;
}

MemoryBudget::Part MemoryBudget::OwnPart(Use use) {
  switch (use) {
    case Use::kSmallRequest:
      return Part::kSmallRequests;
    case Use::kAnswer:
      return Part::kAnswers;
    case Use::kLargeRequest:
      break;
  }
  return Part::kShared;
}

uint64_t MemoryBudget::Room(Part part) const {
  const PartState& state = parts_[Index(part)];
  return state.size - std::min(state.size, state.used);
}

MemoryBudget::Reservation::Reservation(Reservation&& other) noexcept
    : budget_(other.budget_),
      use_(other.use_),
      own_bytes_(std::exchange(other.own_bytes_, 0)),
      shared_bytes_(std::exchange(other.shared_bytes_, 0)) {}

MemoryBudget::Reservation& MemoryBudget::Reservation::operator=(
    Reservation&& other) noexcept {
  if (this != &other) {
    Release();
    budget_ = other.budget_;
    use_ = other.use_;
    own_bytes_ = std::exchange(other.own_bytes_, 0);
    shared_bytes_ = std::exchange(other.shared_bytes_, 0);
  }
  return *this;
}

bool MemoryBudget::Reservation::TryResize(uint64_t bytes) {
  if (budget_ != nullptr && budget_->is_limited() && bytes > this->bytes()) {
    const Part own_part = OwnPart(use_);
    uint64_t room = budget_->Room(Part::kShared);
    if (own_part != Part::kShared) {
      room += budget_->Room(own_part);
    }
    if (bytes - this->bytes() > room) {
      return false;
    }
  }
  Resize(bytes);
  return true;
}

void MemoryBudget::Reservation::Resize(uint64_t bytes) {
  if (budget_ == nullptr) {
    return;
  }
  const Part own_part = OwnPart(use_);
  PartState& shared = budget_->parts_[Index(Part::kShared)];
  PartState& own = budget_->parts_[Index(own_part)];
  if (bytes > this->bytes()) {
    uint64_t growth = bytes - this->bytes();
    if (own_part != Part::kShared) {
      const uint64_t from_own = std::min(growth, budget_->Room(own_part));
      own.used += from_own;
      own_bytes_ += from_own;
      growth -= from_own;
    }
    shared.used += growth;
    shared_bytes_ += growth;
    return;
  }
  uint64_t surplus = this->bytes() - bytes;
  const uint64_t from_shared = std::min(surplus, shared_bytes_);
  shared.used -= from_shared;
  shared_bytes_ -= from_shared;
  surplus -= from_shared;
  own.used -= surplus;
  own_bytes_ -= surplus;
}

}  // namespace baobabwall::edge
