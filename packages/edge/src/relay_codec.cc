#include "edge/src/relay_codec.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "edge/src/deflate.h"
#include "gateway/src/msgpack.h"

namespace baobabwall::edge {
namespace internal {

using nlohmann::json;

constexpr absl::string_view kAllKeysPath = "/state/keys";
constexpr absl::string_view kChangesPath = "/state/changes/";

/// Era of the revision of a watch; a header, because earlier versions accept no
/// further part of the path.
constexpr char kEraHeader[] = "State-Era";

constexpr char kDeflate[] = "deflate";

constexpr size_t kMinAnswerFields = 3;
/// Field with the era, which earlier versions do not send.
constexpr size_t kEraField = 3;

/// Maximum time for which a watch of another instance may stay pending.
constexpr int64_t kMaxWatchTimeoutMs = 60'000;

control::StoreKeyValue DecodeItem(const json& item) {
  control::StoreKeyValue decoded;
  decoded.key = item.at(0).get<std::string>();
  decoded.value = item.at(1).get<std::string>();
  decoded.revision = item.at(2).get<int64_t>();
  decoded.is_deleted = item.at(3).get<bool>();
  return decoded;
}

/// \returns nullopt if no status has this number.
std::optional<control::StoreStatus> DecodeStatus(int64_t value) {
  using control::StoreStatus;
  for (const StoreStatus status :
       {StoreStatus::kOk, StoreStatus::kNotFound, StoreStatus::kHistoryGone,
        StoreStatus::kRefused}) {
    if (value == static_cast<int64_t>(status)) {
      return status;
    }
  }
  return std::nullopt;
}

}  // namespace internal

HttpRequest EncodeRelayRequest(const control::StoreRequest& call) {
  std::string target(internal::kAllKeysPath);
  const auto* watch = std::get_if<control::StoreWatch>(&call);
  if (watch != nullptr) {
    target = absl::StrCat(internal::kChangesPath, watch->after_revision, "/",
                          absl::ToInt64Milliseconds(watch->timeout));
  }
  HttpRequest request(http::verb::get, target, 11);
  request.set(http::field::host, "peer");
  if (watch != nullptr && watch->era != 0) {
    request.set(internal::kEraHeader, absl::StrCat(watch->era));
  }
  return request;
}

std::optional<control::StoreRequest> DecodeRelayRequest(
    const HttpRequest& request) {
  absl::string_view target(request.target().data(), request.target().size());
  if (request.method() != http::verb::get) {
    return std::nullopt;
  }
  if (target == internal::kAllKeysPath) {
    return control::StoreRange{};
  }
  if (!absl::ConsumePrefix(&target, internal::kChangesPath)) {
    return std::nullopt;
  }
  const std::vector<absl::string_view> parts = absl::StrSplit(target, '/');
  control::StoreWatch watch;
  int64_t timeout_ms = 0;
  const bool is_valid = parts.size() == 2 &&
                        absl::SimpleAtoi(parts[0], &watch.after_revision) &&
                        absl::SimpleAtoi(parts[1], &timeout_ms);
  if (!is_valid || timeout_ms < 0 ||
      timeout_ms > internal::kMaxWatchTimeoutMs) {
    return std::nullopt;
  }
  watch.timeout = absl::Milliseconds(timeout_ms);
  const auto era = request[internal::kEraHeader];
  if (!era.empty() &&
      !absl::SimpleAtoi(absl::string_view(era.data(), era.size()),
                        &watch.era)) {
    return std::nullopt;
  }
  return watch;
}

HttpResponse EncodeRelayAnswer(const control::StoreAnswer& answer) {
  internal::json items = internal::json::array();
  for (const control::StoreKeyValue& item : answer.key_values) {
    items.push_back({item.key, item.value, item.revision, item.is_deleted});
  }
  const internal::json body = {static_cast<int64_t>(answer.status),
                               answer.revision, std::move(items),
                               answer.era.value_or(0)};
  HttpResponse response(http::status::ok, 11);
  response.set(http::field::content_type, "application/msgpack");
  internal::json::to_msgpack(body, response.body());
  if (response.body().size() >= kMinCompressedBytes) {
    response.body() = Deflate(response.body());
    response.set(http::field::content_encoding, internal::kDeflate);
  }
  if (response.body().size() > kMaxRelayAnswerBytes) {
    control::StoreAnswer too_large;
    too_large.status = control::StoreStatus::kNotFound;
    return EncodeRelayAnswer(too_large);
  }
  response.prepare_payload();
  return response;
}

HttpResponse RelayAnswerEncoder::Encode(
    std::shared_ptr<const control::StoreAnswer> answer) {
  if (answer != last_answer_) {
    last_encoded_ = EncodeRelayAnswer(*answer);
    last_answer_ = std::move(answer);
  }
  return last_encoded_;
}

control::StoreAnswer DecodeRelayAnswer(const HttpResponse& answer) {
  std::string inflated;
  const bool is_compressed =
      answer[http::field::content_encoding] == internal::kDeflate;
  if (is_compressed) {
    std::optional<std::string> text = Inflate(answer.body());
    if (!text) {
      return {};
    }
    inflated = *std::move(text);
  }
  const std::string& encoded = is_compressed ? inflated : answer.body();
  const std::optional<internal::json> message = gateway::DecodeMsgpack(
      {reinterpret_cast<const uint8_t*>(encoded.data()), encoded.size()});
  if (!message || !message->is_array() ||
      message->size() < internal::kMinAnswerFields) {
    return {};
  }
  const internal::json& body = *message;
  try {
    const auto status = internal::DecodeStatus(body[0].get<int64_t>());
    if (!status) {
      return {};
    }
    control::StoreAnswer decoded;
    decoded.status = *status;
    decoded.revision = body[1].get<int64_t>();
    for (const internal::json& item : body[2]) {
      decoded.key_values.push_back(internal::DecodeItem(item));
    }
    if (body.size() > internal::kEraField) {
      const auto era = body[internal::kEraField].get<int64_t>();
      decoded.era = era > 0 ? std::make_optional(era) : std::nullopt;
    }
    return decoded;
  } catch (const internal::json::exception&) {
    return {};
  }
}

}  // namespace baobabwall::edge
