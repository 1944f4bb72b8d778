#ifndef EDGE_SRC_RELAY_CODEC_H_
#define EDGE_SRC_RELAY_CODEC_H_

#include <optional>

#include "control/control.h"
#include "edge/src/http_message.h"

namespace baobabwall::edge {

/// \brief Encodes and decodes reads of the shared state between instances: a
/// GET for all keys or for changes, with an answer in MessagePack.

/// \param call a range of all keys or a watch of all keys.
HttpRequest EncodeRelayRequest(const control::StoreRequest& call);

/// \returns nullopt if the request is not a read of the shared state.
std::optional<control::StoreRequest> DecodeRelayRequest(
    const HttpRequest& request);

HttpResponse EncodeRelayAnswer(const control::StoreAnswer& answer);

/// \returns an answer without a call id; the status is kUnknown if the body
/// cannot be decoded.
control::StoreAnswer DecodeRelayAnswer(const HttpResponse& answer);

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_RELAY_CODEC_H_
