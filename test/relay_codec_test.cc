#include "edge/src/relay_codec.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

#include "absl/strings/str_cat.h"
#include "base/base.h"
#include "edge/src/deflate.h"
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

/// Returns the state of a fleet of 295 instances and 1,212 servers.
StoreAnswer MakeLargeState() {
  StoreAnswer answer;
  answer.status = StoreStatus::kOk;
  base::Random random(1);
  for (int i = 0; i < 1507; ++i) {
    const std::string id = absl::StrCat(absl::Hex(random.Below(1ULL << 40)));
    answer.key_values.push_back(
        {absl::StrCat("servers/i-", id),
         absl::StrCat(R"({"service":"disponible","address":"10.2.)", i / 250,
                      ".", i % 250, R"(:8641","zone":"cuyo-godoy",)",
                      R"("version":"v1","capacity_slots":5,"state":"ready",)",
                      R"("warmup_left_ms":0,"sequence":)", random.Below(1000),
                      R"(,"born":)", 1'780'000'000'000 + random.Below(100'000),
                      "}"),
         i, false});
  }
  return answer;
}

// Guards against followers whose transfers of a large answer queue up on the
// link of a small reader (hunt 41296322, big_config), and against a fleet whose
// state is too large to be read from another instance.
TEST_CASE("large answers are compressed or left to the store") {
  const HttpResponse state = EncodeRelayAnswer(MakeLargeState());
  CHECK(state.body().size() <= kMaxRelayAnswerBytes);
  CHECK(DecodeRelayAnswer(state).key_values.size() == 1507);
  StoreAnswer config = MakeAnswer();
  base::Random random(1);
  std::string& value = config.key_values[0].value;
  while (value.size() < 300'000) {
    value.push_back(static_cast<char>(random.Below(256)));
  }
  const StoreAnswer refused = DecodeRelayAnswer(EncodeRelayAnswer(config));
  CHECK(refused.status == StoreStatus::kNotFound);
  CHECK(refused.key_values.empty());
}

// Guards against followers that do not learn of a restore of the store, and
// against instances of an earlier version, which do not send the era.
TEST_CASE("the era of the store is passed on") {
  control::StoreWatch watch;
  watch.after_revision = 42;
  watch.era = 3;
  HttpRequest request = EncodeRelayRequest(watch);
  CHECK(std::get<control::StoreWatch>(*DecodeRelayRequest(request)).era == 3);
  request.erase("State-Era");
  CHECK(std::get<control::StoreWatch>(*DecodeRelayRequest(request)).era == 0);
  request.set("State-Era", "x");
  CHECK_FALSE(DecodeRelayRequest(request).has_value());
  StoreAnswer answer = MakeAnswer();
  answer.era = 3;
  CHECK(DecodeRelayAnswer(EncodeRelayAnswer(answer)).era == 3);
  answer.era.reset();
  CHECK_FALSE(DecodeRelayAnswer(EncodeRelayAnswer(answer)).era.has_value());
}

// Guards against an answer that was encoded for another call.
TEST_CASE("an encoder repeats only the same answer") {
  RelayAnswerEncoder encoder;
  const auto first = std::make_shared<const StoreAnswer>(MakeLargeState());
  const auto second = std::make_shared<const StoreAnswer>(MakeAnswer());
  for (int i = 0; i < 2; ++i) {
    CHECK(DecodeRelayAnswer(encoder.Encode(first)).key_values.size() == 1507);
    CHECK(DecodeRelayAnswer(encoder.Encode(second)).key_values.size() == 2);
  }
}

// Guards against crashes caused by malformed compressed data, and against data
// that needs all memory when it is decompressed.
TEST_CASE("malformed or oversized compressed answers are rejected") {
  const std::string compressed = Deflate(std::string(20 * 1024 * 1024, 'x'));
  CHECK(compressed.size() < kMaxRelayAnswerBytes);
  CHECK_FALSE(Inflate(compressed).has_value());
  const std::string small = Deflate("some text, some text");
  CHECK(Inflate(small) == "some text, some text");
  CHECK_FALSE(Inflate(small.substr(0, small.size() / 2)).has_value());
  CHECK(rc::check([] {
    HttpResponse response = EncodeRelayAnswer(MakeLargeState());
    response.body() = test::Mutate(response.body());
    DecodeRelayAnswer(response);  // Must not crash.
  }));
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

// Guards against a crash by stack overflow: the decoder is recursive.
TEST_CASE("deeply nested answers of other instances are rejected") {
  constexpr char array_of_one = '\x91';
  HttpResponse response(http::status::ok, 11);
  response.body() = std::string(10'000'000, array_of_one);
  CHECK(DecodeRelayAnswer(response).status == StoreStatus::kUnknown);
}

}  // namespace
}  // namespace baobabwall::edge
