#ifndef TRANSPORT_SRC_PEER_CODEC_H_
#define TRANSPORT_SRC_PEER_CODEC_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "base/base.h"
#include "control/control.h"

namespace baobabwall::transport {

/// \brief A peer message in the form of a JSON-RPC notification.
struct PeerCall {
  std::string method;
  std::string params;  ///< JSON text of an object.
};

/// \brief Encodes a message. Binary fields are encoded as base64.
PeerCall EncodePeerMessage(const control::PeerMessage& message);

/// \brief Decodes an untrusted message. Unknown fields are ignored.
/// \param findings receives every decoding error with the path of its field.
/// \returns nullopt if there was a decoding error.
std::optional<control::PeerMessage> DecodePeerMessage(absl::string_view method,
                                                      absl::string_view params,
                                                      base::Findings* findings);

/// \returns the JSON-RPC method names of all payload types.
std::vector<std::string> PeerMethods();

}  // namespace baobabwall::transport

#endif  // TRANSPORT_SRC_PEER_CODEC_H_
