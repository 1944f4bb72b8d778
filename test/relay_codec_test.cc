#include "edge/src/relay_codec.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

#include "mutate.h"

namespace baobabwall::edge {
namespace {

using control::StoreAnswer;
using control::StoreStatus;

StoreAnswer MakeAnswer() {
  StoreAnswer answer;
  answer.status = StoreStatus::kOk;
  answer.revision = 1'234'567'890'123;
  answer.key_values = {{"op/config", std::string("\0\xff\"{", 4), 7, false},
                       {"gone", "", 1'234'567'890'123, true}};
  return answer;
}

// Guards against values that change when they are sent between instances.
TEST_CASE("encoded answers keep bytes, revisions and deletions") {
  const StoreAnswer answer = DecodeRelayAnswer(EncodeRelayAnswer(MakeAnswer()));
  CHECK(answer.status == StoreStatus::kOk);
  CHECK(answer.revision == 1'234'567'890'123);
  REQUIRE(answer.key_values.size() == 2);
  CHECK(answer.key_values[0].value == std::string("\0\xff\"{", 4));
  CHECK(answer.key_values[0].revision == 7);
  CHECK(answer.key_values[1].is_deleted);
  for (const StoreStatus status :
       {StoreStatus::kNotFound, StoreStatus::kHistoryGone,
        StoreStatus::kRefused}) {
    StoreAnswer refusal;
    refusal.status = status;
    CHECK(DecodeRelayAnswer(EncodeRelayAnswer(refusal)).status == status);
  }
}

// Guards against encoded requests that differ from the original call.
TEST_CASE("encoded requests keep their revision and timeout") {
  control::StoreWatch watch;
  watch.after_revision = 42;
  watch.timeout = absl::Milliseconds(1500);
  const auto call = DecodeRelayRequest(EncodeRelayRequest(watch));
  REQUIRE(call.has_value());
  CHECK(std::get<control::StoreWatch>(*call).after_revision == 42);
  CHECK(std::get<control::StoreWatch>(*call).timeout == watch.timeout);
  const auto range =
      DecodeRelayRequest(EncodeRelayRequest(control::StoreRange{}));
  REQUIRE(range.has_value());
  CHECK(std::holds_alternative<control::StoreRange>(*range));
  for (const std::string target :
       {"/", "/state/changes/", "/state/changes/1", "/state/changes/x/1",
        "/state/changes/1/-1", "/state/changes/1/99999999", "/state/keys/"}) {
    CHECK_FALSE(DecodeRelayRequest({http::verb::get, target, 11}).has_value());
  }
}

// Guards against crashes caused by malformed answers of another instance, and
// against accepting such answers.
TEST_CASE("malformed answers of other instances are rejected") {
  CHECK(rc::check([] {
    HttpResponse response = EncodeRelayAnswer(MakeAnswer());
    response.body() = test::Mutate(response.body());
    const StoreAnswer answer = DecodeRelayAnswer(response);
    RC_ASSERT(answer.id == 0);
    RC_ASSERT(answer.lease == 0);
  }));
  CHECK(DecodeRelayAnswer({http::status::ok, 11}).status ==
        StoreStatus::kUnknown);
  CHECK(DecodeRelayAnswer({http::status::not_found, 11}).status ==
        StoreStatus::kUnknown);
}

}  // namespace
}  // namespace baobabwall::edge
