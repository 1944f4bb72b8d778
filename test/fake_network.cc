#include "fake_network.h"

#include <algorithm>
#include <type_traits>
#include <variant>

namespace baobabwall::test {
namespace {

constexpr size_t kHeaderBytesPerCall = 400;
constexpr size_t kAverageNumberBytes = 14;

/// Average size of a field name with its quotes, colon and comma.
constexpr size_t kAverageFieldNameBytes = 14;

size_t TextBytes(const std::string& text) {
  return kAverageFieldNameBytes + text.size() +
         std::count(text.begin(), text.end(), '"');
}

size_t NumberBytes() {
  return kAverageFieldNameBytes + kAverageNumberBytes;
}

size_t ObjectBytes(const control::Identity& identity) {
  return TextBytes(identity.id.name) + TextBytes(identity.zone) +
         TextBytes(identity.region) + TextBytes(identity.address) +
         3 * NumberBytes();
}

size_t ObjectBytes(const control::Heartbeat& heartbeat) {
  return 2 * NumberBytes() +
         heartbeat.utilisation.size() * (2 * kAverageFieldNameBytes);
}

size_t ObjectBytes(const std::vector<control::MemberUpdate>& updates) {
  size_t bytes = 0;
  for (const control::MemberUpdate& update : updates) {
    bytes += ObjectBytes(update.identity) + 2 * NumberBytes();
  }
  return bytes;
}

size_t ObjectBytes(const control::ZoneStatus& status) {
  return TextBytes(status.zone) + 4 * NumberBytes() +
         status.behind.size() * 3 * NumberBytes();
}

}  // namespace

size_t EncodedBytes(const control::PeerMessage& message) {
  const size_t payload = std::visit(
      [](const auto& value) -> size_t {
        using T = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<T, control::Ping> ||
                      std::is_same_v<T, control::Ack>) {
          return 3 * NumberBytes() + ObjectBytes(value.heartbeat) +
                 ObjectBytes(value.updates);
        } else if constexpr (std::is_same_v<T, control::PingRequest>) {
          return NumberBytes() + ObjectBytes(value.target) +
                 ObjectBytes(value.updates);
        } else if constexpr (std::is_same_v<T, control::MemberList>) {
          return ObjectBytes(value.updates);
        } else if constexpr (std::is_same_v<T, control::PushEntries>) {
          size_t bytes = NumberBytes();
          for (const std::string& entry : value.entries) {
            bytes += TextBytes(entry);
          }
          return bytes;
        } else if constexpr (std::is_same_v<T, control::PullSnapshot>) {
          return NumberBytes() + TextBytes(value.after);
        } else if constexpr (std::is_same_v<T, control::SnapshotPart>) {
          return 2 * NumberBytes() + TextBytes(value.after) +
                 TextBytes(value.next) + TextBytes(value.data);
        } else if constexpr (std::is_same_v<T, control::AppliedReport>) {
          return ObjectBytes(value.heartbeat);
        } else if constexpr (std::is_same_v<T, control::ZoneStatusReport>) {
          size_t bytes = 0;
          for (const control::ZoneStatus& zone : value.zones) {
            bytes += ObjectBytes(zone);
          }
          return bytes;
        } else {
          return 2 * NumberBytes();
        }
      },
      message.payload);
  return kHeaderBytesPerCall + ObjectBytes(message.sender) + payload;
}

void FakeNetwork::Attach(const control::Identity& identity, Receiver receiver) {
  endpoints_[{identity.address, identity.peer_port}] = {identity,
                                                        std::move(receiver)};
}

void FakeNetwork::Detach(const control::Identity& identity) {
  endpoints_.erase({identity.address, identity.peer_port});
}

void FakeNetwork::Send(const control::Identity& from,
                       const control::SendPeer& action) {
  const control::PeerMessage message{from, action.payload};
  const auto bytes = static_cast<int64_t>(EncodedBytes(message));
  ++sent_[from.id.name].messages;
  sent_[from.id.name].bytes += bytes;
  const int copies = random_.Unit() < faults_.duplication_ratio ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (random_.Unit() < faults_.loss_ratio) {
      continue;
    }
    const absl::Duration delay =
        faults_.min_delay +
        (faults_.max_delay - faults_.min_delay) * random_.Unit();
    const Address address = {action.to.address, action.to.peer_port};
    queue_->After(delay, [this, message, address, bytes] {
      const auto found = endpoints_.find(address);
      if (found == endpoints_.end() ||
          (faults_.is_cut &&
           faults_.is_cut(message.sender, found->second.identity))) {
        return;
      }
      Traffic& traffic = received_[found->second.identity.id.name];
      ++traffic.messages;
      traffic.bytes += bytes;
      const Receiver receiver = found->second.receiver;
      receiver(message);
    });
  }
}

void FakeNetwork::ResetCounts() {
  sent_.clear();
  received_.clear();
}

}  // namespace baobabwall::test
