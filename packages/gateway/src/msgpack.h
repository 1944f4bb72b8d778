#ifndef GATEWAY_SRC_MSGPACK_H_
#define GATEWAY_SRC_MSGPACK_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

#include "absl/types/span.h"

namespace baobabwall::gateway {

/// Maximum number of arrays and objects inside each other in a message. The
/// decoder is recursive, so that deeper messages could overflow the stack.
constexpr int kMaxMsgpackDepth = 16;

/// \brief Decodes a MessagePack message from the network.
/// \returns nullopt if the message is malformed or nested too deeply.
std::optional<nlohmann::json> DecodeMsgpack(absl::Span<const uint8_t> bytes);

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_MSGPACK_H_
