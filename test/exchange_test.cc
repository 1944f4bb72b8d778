#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <algorithm>

#include "steer/steer.h"

namespace baobabwall::steer {
namespace {

using Framing = Exchange::Framing;

// Guards against treating a truncated answer as complete, for each framing and
// any split of the bytes.
TEST_CASE("an exchange is complete only after its declared end") {
  rc::prop("an exchange passes exactly the declared length", [] {
    const int length = *rc::gen::inRange(0, 50);
    const auto part_sizes =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 20));
    Exchange exchange(1000);
    exchange.OnRequestSent();
    RC_ASSERT(exchange.OnHead(Framing::kLength, length, false));
    int passed_bytes = 0;
    int total_bytes = 0;
    for (int part_size : part_sizes) {
      total_bytes += part_size;
      passed_bytes += exchange.OnBytes(part_size) ? part_size : 0;
      RC_ASSERT(passed_bytes <= length);
      RC_ASSERT(exchange.is_complete() == (passed_bytes == length));
    }
    RC_ASSERT(exchange.is_reusable() ==
              (passed_bytes == length &&
               (part_sizes.empty() || total_bytes == length)));
    exchange.OnConnectionEnd();
    RC_ASSERT(exchange.result() == (passed_bytes == length
                                        ? AttemptResult::kCompleted
                                        : AttemptResult::kTruncated));
    RC_ASSERT(!exchange.is_reusable());
  });
  Exchange chunked(1000);
  chunked.OnRequestSent();
  chunked.OnHead(Framing::kChunked, 0, false);
  CHECK(chunked.OnBytes(10));
  CHECK_FALSE(chunked.is_complete());
  chunked.OnLastChunk();
  CHECK(chunked.is_reusable());
  Exchange until_close(1000);
  until_close.OnHead(Framing::kUntilClose, 0, true);
  until_close.OnBytes(10);
  until_close.OnConnectionEnd();
  CHECK(until_close.result() == AttemptResult::kTruncated);
}

// Guards against an answer above the size limit and against a second answer in
// the same exchange.
TEST_CASE("an oversized answer and a second answer are not forwarded") {
  Exchange oversized(100);
  CHECK_FALSE(oversized.OnHead(Framing::kLength, 101, false));
  CHECK(oversized.result() == AttemptResult::kOversized);
  Exchange chunked(100);
  chunked.OnHead(Framing::kChunked, 0, false);
  CHECK(chunked.OnBytes(100));
  CHECK_FALSE(chunked.OnBytes(1));
  chunked.OnLastChunk();
  CHECK(chunked.result() == AttemptResult::kOversized);
  Exchange second_head(100);
  second_head.OnRequestSent();
  CHECK(second_head.OnHead(Framing::kNoBody, 0, false));
  CHECK(second_head.is_reusable());
  CHECK_FALSE(second_head.OnHead(Framing::kNoBody, 0, false));
  CHECK_FALSE(second_head.is_reusable());
  Exchange unsent_request(100);
  unsent_request.OnHead(Framing::kLength, 0, false);
  CHECK(unsent_request.is_complete());
  // The request was not sent completely.
  CHECK_FALSE(unsent_request.is_reusable());
  Exchange timed_out(100);
  timed_out.OnTimeout();
  CHECK(timed_out.result() == AttemptResult::kTimedOut);
}

}  // namespace
}  // namespace baobabwall::steer
