#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "model/model.h"

namespace baobabwall::model {
namespace {

TEST_CASE(
    "HomeZone uses the longest matching prefix and is empty without a match") {
  ClientBlockTable::Builder builder;
  builder.Add(*ClientBlock::Parse("10.0.0.0/8"), "a")
      .Add(*ClientBlock::Parse("10.1.0.0/16"), "b")
      .Add(*ClientBlock::Parse("2001:db8::/32"), "c")
      .Add(*ClientBlock::Parse("255.0.0.0/8"), "d");
  const ClientBlockTable table = builder.Build();
  const auto zone = [&](absl::string_view address) {
    return table.HomeZone(*ClientAddress::Parse(address));
  };
  CHECK(zone("10.0.255.255") == "a");
  CHECK(zone("10.1.2.3") == "b");
  CHECK(zone("10.2.0.0") == "a");
  CHECK(zone("11.0.0.0").empty());
  CHECK(zone("2001:db8::1") == "c");
  CHECK(zone("2001:db9::1").empty());
  CHECK(zone("255.255.255.255") == "d");
}

// Guards against accepting a prefix with host bits set, which is more likely to
// be a typing error than intended.
TEST_CASE("malformed prefixes are rejected") {
  for (const char* text : {"10.0.0.1/8", "10.0.0.0/33", "10.0.0.0", "x/8",
                           "2001:db8::1/32", "::/129"}) {
    CAPTURE(text);
    CHECK_FALSE(ClientBlock::Parse(text));
  }
  CHECK(ClientBlock::Parse("::/0"));
  CHECK(ClientBlock::Parse("10.0.0.1/32"));
}

// Guards against range boundaries that are wrong where blocks are nested or
// adjacent.
TEST_CASE("the table returns the same zones as a linear search of all blocks") {
  CHECK(rc::check("table equals linear search", [] {
    ClientBlockTable::Builder builder;
    struct Entry {
      uint32_t first;
      int prefix_length;
      std::string zone;
    };
    std::vector<Entry> entries;
    const int block_count = *rc::gen::inRange(0, 20);
    for (int i = 0; i < block_count; ++i) {
      const int prefix_length = *rc::gen::inRange(24, 33);
      const uint32_t host_mask =
          prefix_length == 32 ? 0 : (1u << (32 - prefix_length)) - 1;
      const uint32_t first =
          (0x0a000000u | *rc::gen::inRange<uint32_t>(0, 1024)) & ~host_mask;
      bool is_duplicate = false;
      for (const Entry& entry : entries) {
        is_duplicate = is_duplicate || (entry.first == first &&
                                        entry.prefix_length == prefix_length);
      }
      if (is_duplicate) {
        continue;
      }
      entries.push_back({first, prefix_length, absl::StrCat("z", i)});
      builder.Add(
          *ClientBlock::Parse(absl::StrCat("10.0.", first >> 8 & 255, ".",
                                           first & 255, "/", prefix_length)),
          entries.back().zone);
    }
    const ClientBlockTable table = builder.Build();
    for (uint32_t i = 0; i < 1300; ++i) {
      const uint32_t address = 0x0a000000u + i;
      std::string expected;
      int longest_match = -1;
      for (const Entry& entry : entries) {
        const uint32_t host_mask = entry.prefix_length == 32
                                       ? 0
                                       : (1u << (32 - entry.prefix_length)) - 1;
        if ((address & ~host_mask) == entry.first &&
            entry.prefix_length > longest_match) {
          longest_match = entry.prefix_length;
          expected = entry.zone;
        }
      }
      RC_ASSERT(table.HomeZone(*ClientAddress::Parse(
                    absl::StrCat("10.0.", i >> 8, ".", i & 255))) == expected);
    }
  }));
}

}  // namespace
}  // namespace baobabwall::model
