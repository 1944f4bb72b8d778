#ifndef EDGE_SRC_RELAY_CODEC_H_
#define EDGE_SRC_RELAY_CODEC_H_

#include <cstddef>
#include <memory>
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

/// Maximum size of an encoded answer. A reader sends an answer to tens of
/// followers at once, and its link may have only 10 Mbit/s. Followers read
/// larger answers from the store.
inline constexpr size_t kMaxRelayAnswerBytes = 128 * 1024;
/// Answers from this size on are compressed.
inline constexpr size_t kMinCompressedBytes = 1024;

/// \returns the encoded answer; an answer with status kNotFound if the encoded
/// answer is larger than kMaxRelayAnswerBytes.
HttpResponse EncodeRelayAnswer(const control::StoreAnswer& answer);

/// \brief Encodes answers that are sent to many followers once.
class RelayAnswerEncoder {
 public:
  HttpResponse Encode(std::shared_ptr<const control::StoreAnswer> answer);

 private:
  std::shared_ptr<const control::StoreAnswer> last_answer_;
  HttpResponse last_encoded_;
};

/// \returns an answer without a call id; the status is kUnknown if the body
/// cannot be decoded.
control::StoreAnswer DecodeRelayAnswer(const HttpResponse& answer);

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_RELAY_CODEC_H_
