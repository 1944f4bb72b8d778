#include "gateway/src/msgpack.h"

namespace baobabwall::gateway {
namespace internal {

using nlohmann::json;

/// Builds a JSON value from the events of the decoder and stops the decoder at
/// the first value that is nested too deeply.
class BoundedDepthBuilder : public nlohmann::detail::json_sax_dom_parser<json> {
 public:
  using Base = nlohmann::detail::json_sax_dom_parser<json>;

  explicit BoundedDepthBuilder(json* value) : Base(*value, false) {}

  // The decoder calls these by the names of nlohmann's SAX interface.
  bool start_array(size_t size) {  // NOLINT(readability-identifier-naming)
    return Enter() && Base::start_array(size);
  }
  bool end_array() {  // NOLINT(readability-identifier-naming)
    --depth_;
    return Base::end_array();
  }
  bool start_object(size_t size) {  // NOLINT(readability-identifier-naming)
    return Enter() && Base::start_object(size);
  }
  bool end_object() {  // NOLINT(readability-identifier-naming)
    --depth_;
    return Base::end_object();
  }

 private:
  bool Enter() { return ++depth_ <= kMaxMsgpackDepth; }

  int depth_ = 0;
};

}  // namespace internal

std::optional<nlohmann::json> DecodeMsgpack(absl::Span<const uint8_t> bytes) {
  using nlohmann::json;
  json message;
  internal::BoundedDepthBuilder builder(&message);
  const bool is_valid = json::sax_parse(bytes.begin(), bytes.end(), &builder,
                                        json::input_format_t::msgpack);
  return is_valid ? std::make_optional(std::move(message)) : std::nullopt;
}

}  // namespace baobabwall::gateway
