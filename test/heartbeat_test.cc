#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gateway/gateway.h"

namespace baobabwall::gateway {
namespace {

// Guards against foreign datagrams that are accepted as heartbeats or crash the
// decoder.
TEST_CASE("a heartbeat is decoded as encoded; other bytes are rejected") {
  Heartbeat heartbeat;
  heartbeat.instance = "edge-1";
  heartbeat.incarnation = 1'780'000'000'000;
  heartbeat.sequence = 12;
  heartbeat.is_ready = true;
  heartbeat.is_active = true;
  heartbeat.state_revision = 4;
  heartbeat.state_era = 3;
  heartbeat.loads = {{0xffffffff, 3}, {7, 1}};
  heartbeat.demand = {{9, 4321}};
  heartbeat.planned_shares = {{0xfffffffe, 5, 250}, {0xfffffffe, 6, 750}};
  heartbeat.server_limits = {{0xfffffffd, 12.5, absl::Milliseconds(40)},
                             {8, std::nullopt, absl::Seconds(3)}};
  const auto read = Heartbeat::Decode(heartbeat.Encode());
  REQUIRE(read.has_value());
  CHECK(read->instance == heartbeat.instance);
  CHECK(read->incarnation == heartbeat.incarnation);
  CHECK(read->loads == heartbeat.loads);
  CHECK(read->demand == heartbeat.demand);
  CHECK(read->planned_shares == heartbeat.planned_shares);
  REQUIRE(read->server_limits.size() == 2);
  CHECK(read->server_limits[0].server == 0xfffffffd);
  CHECK(read->server_limits[0].per_s == 12.5);
  CHECK(read->server_limits[0].age == absl::Milliseconds(40));
  CHECK_FALSE(read->server_limits[1].per_s.has_value());
  CHECK(read->server_limits[1].age == absl::Seconds(3));
  using LoadReport = Heartbeat::LoadReport;
  const auto without_loads =
      Heartbeat::Decode(heartbeat.Encode(LoadReport::kOmitted));
  REQUIRE(without_loads.has_value());
  CHECK(without_loads->loads.empty());
  CHECK(without_loads->planned_shares.empty());
  CHECK(without_loads->demand == heartbeat.demand);
  CHECK(read->state_revision == 4);
  CHECK(read->state_era == 3);
  CHECK(read->is_ready);
  CHECK_FALSE(read->is_leaving);
  CHECK(rc::check([](const std::vector<uint8_t>& bytes) {
    Heartbeat::Decode(bytes);  // Must not throw.
  }));
  CHECK(rc::check([&](uint16_t at, uint8_t value) {
    std::vector<uint8_t> bytes = heartbeat.Encode();
    bytes[at % bytes.size()] = value;
    Heartbeat::Decode(bytes);
  }));
}

// Guards against a datagram that the receiver cuts off: a deployment with many
// services and servers.
TEST_CASE("the largest heartbeat fits into a datagram") {
  Heartbeat heartbeat;
  heartbeat.instance = std::string(64, 'n');
  heartbeat.incarnation = 1'780'000'000'000;
  heartbeat.sequence = 1ULL << 40;
  heartbeat.state_revision = 1LL << 40;
  heartbeat.state_era = 1LL << 40;
  for (uint32_t i = 0; i < 500; ++i) {
    heartbeat.loads.emplace_back(0xffffff00 + i % 256, 100'000);
    heartbeat.demand.emplace_back(0xffffff00 + i % 256, 100'000);
    heartbeat.planned_shares.push_back({0xffffff00, 0xffffff00, 1000});
    heartbeat.server_limits.push_back({0xffffff00, 1e300, absl::Seconds(10)});
  }
  CHECK(heartbeat.Encode().size() <= Heartbeat::kMaxEncodedBytes);
}

// Guards against an upgrade during which instances do not hear each other: the
// heartbeats of an earlier version have no limits of servers.
TEST_CASE("a heartbeat without limits of servers is accepted") {
  Heartbeat heartbeat;
  heartbeat.instance = "edge-1";
  heartbeat.server_limits = {{1, 2.0, absl::ZeroDuration()}};
  std::vector<uint8_t> encoded = heartbeat.Encode();
  // The message is a short list that ends with the limits and the era.
  constexpr uint8_t short_list = 0x90;
  REQUIRE(encoded.front() == (short_list | 12));
  constexpr size_t limits_and_era_bytes = (1 + 1 + 3 + 1) + 1;
  encoded.resize(encoded.size() - limits_and_era_bytes);
  encoded.front() = short_list | 10;
  const auto read = Heartbeat::Decode(encoded);
  REQUIRE(read.has_value());
  CHECK(read->instance == "edge-1");
  CHECK(read->server_limits.empty());
}

// Guards against a datagram that ends the process by stack overflow: the
// decoder is recursive.
TEST_CASE("a deeply nested datagram is rejected") {
  constexpr uint8_t array_of_one = 0x91;
  constexpr uint8_t map_of_one_with_empty_key[] = {0x81, 0xa0};
  constexpr size_t max_datagram_bytes = 65'507;
  CHECK_FALSE(
      Heartbeat::Decode(std::vector<uint8_t>(max_datagram_bytes, array_of_one))
          .has_value());
  std::vector<uint8_t> maps;
  while (maps.size() + 2 < max_datagram_bytes) {
    maps.insert(maps.end(), std::begin(map_of_one_with_empty_key),
                std::end(map_of_one_with_empty_key));
  }
  CHECK_FALSE(Heartbeat::Decode(maps).has_value());
}

}  // namespace
}  // namespace baobabwall::gateway
