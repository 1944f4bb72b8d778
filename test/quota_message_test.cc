#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "gateway/gateway.h"

namespace baobabwall::gateway {
namespace {

using nlohmann::json;

QuotaMessage FullMessage() {
  QuotaMessage message;
  message.sender = std::string(64, 'n');
  message.sender_incarnation = 1'780'000'000'000;
  message.sequence = 1ULL << 40;
  for (uint32_t i = 0; i < QuotaMessage::kMaxEntries; ++i) {
    message.reports.push_back({0xffffff00 + i, 1234.5, 100'000});
    message.grants.push_back({0xffffff00 + i, 1234.5});
  }
  return message;
}

std::optional<QuotaMessage> DecodeJson(const json& fields) {
  return QuotaMessage::Decode(json::to_msgpack(fields));
}

json Fields(const json& reports, const json& grants) {
  return {1, "edge-1", 5, 7, reports, grants};
}

// Guards against a field that is lost or changed by the codec.
TEST_CASE("a quota message is decoded as encoded") {
  const QuotaMessage message = FullMessage();
  const auto read = QuotaMessage::Decode(message.Encode());
  REQUIRE(read.has_value());
  CHECK(read->sender == message.sender);
  CHECK(read->sender_incarnation == message.sender_incarnation);
  CHECK(read->sequence == message.sequence);
  REQUIRE(read->reports.size() == message.reports.size());
  REQUIRE(read->grants.size() == message.grants.size());
  CHECK(read->reports[3].account == message.reports[3].account);
  CHECK(read->reports[3].rate_per_s == 1234.5);
  CHECK(read->reports[3].tokens == 100'000);
  CHECK(read->grants[3].tokens == 1234.5);
}

// Guards against tokens that are created by rounding in the codec: a grant must
// not be received larger than it was sent.
TEST_CASE("a decoded grant is not larger than the grant that was sent") {
  CHECK(rc::check([](uint32_t number) {
    const double tokens = number / 65'536.0;
    QuotaMessage message;
    message.sender = "edge-1";
    message.grants = {{1, tokens}};
    const auto read = QuotaMessage::Decode(message.Encode());
    RC_ASSERT(read.has_value());
    RC_ASSERT(read->grants[0].tokens <= tokens);
  }));
}

// Guards against a datagram that the receiver cuts off, or that the network
// splits into more than three packets.
TEST_CASE("the largest quota message is within 4,096 bytes") {
  CHECK(FullMessage().Encode().size() <= 4096);
}

// Guards against a confusion of the two kinds of datagrams at the peer port.
TEST_CASE("heartbeats and quota messages are not taken for each other") {
  Heartbeat heartbeat;
  heartbeat.instance = "edge-1";
  heartbeat.incarnation = 5;
  heartbeat.sequence = 1;
  CHECK_FALSE(QuotaMessage::Decode(heartbeat.Encode()).has_value());
  CHECK_FALSE(Heartbeat::Decode(FullMessage().Encode()).has_value());
  CHECK_FALSE(Heartbeat::Decode(QuotaMessage().Encode()).has_value());
}

// Guards against values from the network that create tokens, overflow, or end
// the process.
TEST_CASE("values beyond the limits are rejected") {
  CHECK(DecodeJson(Fields({1, 10, 10}, {1, 10})).has_value());
  const json hostile[] = {-1,
                          -1e300,
                          1e300,
                          std::numeric_limits<double>::infinity(),
                          std::numeric_limits<double>::quiet_NaN(),
                          std::numeric_limits<uint64_t>::max(),
                          std::numeric_limits<int64_t>::min()};
  for (const json& value : hostile) {
    const auto grant = DecodeJson(Fields(json::array(), {1, value}));
    CHECK((!grant || grant->grants[0].tokens == 0));
    const auto report = DecodeJson(Fields({1, value, value}, json::array()));
    CHECK((!report || (report->reports[0].tokens == 0 &&
                       report->reports[0].rate_per_s == 0)));
  }
  // Accounts and sequence numbers outside the range of their type.
  CHECK_FALSE(DecodeJson(Fields(json::array(), {-1, 10})).has_value());
  CHECK_FALSE(DecodeJson(Fields(json::array(), {1LL << 40, 10})).has_value());
  CHECK_FALSE(DecodeJson(Fields(json::array(), {1.5, 10})).has_value());
  CHECK_FALSE(DecodeJson({1, "edge-1", 5, -7, json::array(), json::array()})
                  .has_value());
}

TEST_CASE("malformed quota messages are rejected") {
  const json none = json::array();
  CHECK_FALSE(DecodeJson(Fields({1, 10}, none)).has_value());
  CHECK_FALSE(DecodeJson(Fields(none, {1, 2, 3})).has_value());
  CHECK_FALSE(DecodeJson(Fields(none, {"a", 10})).has_value());
  CHECK_FALSE(DecodeJson(Fields(none, {1, nullptr})).has_value());
  CHECK_FALSE(DecodeJson(Fields("text", none)).has_value());
  CHECK_FALSE(DecodeJson({2, "edge-1", 5, 7, none, none}).has_value());
  CHECK_FALSE(DecodeJson({1, "edge-1", 5, 7, none}).has_value());
  const std::vector<int> too_many(2 * (QuotaMessage::kMaxEntries + 1), 1);
  CHECK_FALSE(DecodeJson(Fields(none, too_many)).has_value());
  const std::vector<uint8_t> whole = FullMessage().Encode();
  for (size_t size = 0; size < whole.size(); ++size) {
    const std::vector<uint8_t> cut(whole.begin(), whole.begin() + size);
    CHECK_FALSE(QuotaMessage::Decode(cut).has_value());
  }
}

// Guards against bytes from the network that end the process.
TEST_CASE("arbitrary bytes do not throw") {
  CHECK(rc::check(
      [](const std::vector<uint8_t>& bytes) { QuotaMessage::Decode(bytes); }));
  const std::vector<uint8_t> whole = FullMessage().Encode();
  CHECK(rc::check([&](uint16_t at, uint8_t value, uint16_t other) {
    std::vector<uint8_t> bytes = whole;
    bytes[at % bytes.size()] = value;
    bytes[other % bytes.size()] ^= value;
    const auto read = QuotaMessage::Decode(bytes);
    RC_ASSERT(!read || read->grants.size() <= QuotaMessage::kMaxEntries);
  }));
  CHECK_FALSE(
      QuotaMessage::Decode(std::vector<uint8_t>(65'507, 0x91)).has_value());
}

}  // namespace
}  // namespace baobabwall::gateway
