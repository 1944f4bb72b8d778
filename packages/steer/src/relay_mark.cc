#include "steer/src/relay_mark.h"

#include <algorithm>
#include <memory>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace baobabwall::steer {

std::optional<RelayMark> RelayMark::Parse(absl::string_view text) {
  const std::vector<absl::string_view> parts = absl::StrSplit(text, '.');
  RelayMark mark;
  if (parts.size() != 5 || parts[0].empty() || parts[2].empty() ||
      !absl::SimpleAtoi(parts[1], &mark.from.incarnation) ||
      !absl::SimpleAtoi(parts[3], &mark.to.incarnation) ||
      !absl::SimpleAtoi(parts[4], &mark.number)) {
    return std::nullopt;
  }
  mark.from.name = std::string(parts[0]);
  mark.to.name = std::string(parts[2]);
  return mark;
}

std::string RelayMark::ToString() const {
  return absl::StrCat(from.name, ".", from.incarnation, ".", to.name, ".",
                      to.incarnation, ".", number);
}

bool RelayWindow::Accept(const RelayMark& mark) {
  if (mark.number == 0) {
    return false;
  }
  std::unique_ptr<Sender>& slot = senders_[mark.from.name];
  if (slot == nullptr) {
    slot = std::make_unique<Sender>();
    slot->incarnation = mark.from.incarnation;
  }
  Sender& sender = *slot;
  if (mark.from.incarnation < sender.incarnation) {
    return false;
  }
  if (mark.from.incarnation > sender.incarnation) {
    sender = Sender();
    sender.incarnation = mark.from.incarnation;
  }
  sender.last_use = ++accept_count_;
  if (mark.number + kWindowSize <= sender.max_number) {
    return false;
  }
  if (mark.number > sender.max_number) {
    if (mark.number - sender.max_number >= kWindowSize) {
      sender.seen.reset();
    } else {
      for (uint64_t n = sender.max_number + 1; n < mark.number; ++n) {
        sender.seen.reset(n % kWindowSize);
      }
      sender.seen.reset(mark.number % kWindowSize);
    }
    sender.max_number = mark.number;
  }
  if (sender.seen.test(mark.number % kWindowSize)) {
    return false;
  }
  sender.seen.set(mark.number % kWindowSize);
  if (senders_.size() > kMaxSenders) {
    EvictLeastRecentlyUsed();
  }
  return true;
}

void RelayWindow::EvictLeastRecentlyUsed() {
  const auto oldest = std::min_element(
      senders_.begin(), senders_.end(), [](const auto& a, const auto& b) {
        return a.second->last_use < b.second->last_use;
      });
  senders_.erase(oldest);
}

}  // namespace baobabwall::steer
