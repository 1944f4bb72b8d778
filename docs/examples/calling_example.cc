// Sends a booking that runs at most once, as a caller of baobabwall.
//
// Usage: calling_example PORT SERVICE
#include <cstdlib>
#include <iostream>
#include <string>

#include "absl/strings/numbers.h"
#include "absl/time/clock.h"
#include "nlohmann/json.hpp"
#include "transport/transport.h"

namespace {

using baobabwall::transport::ConnectionPool;
using baobabwall::transport::Fetch;
using baobabwall::transport::HttpAnswer;

constexpr int kMaxAttempts = 3;

std::string RequestOutcome(const HttpAnswer& answer) {
  for (const auto& [name, value] : answer.headers) {
    if (name == "X-Request-Outcome") {
      return value;
    }
  }
  return "unknown";
}

}  // namespace

int main(int argc, char** argv) {
  int port = 0;
  if (argc != 3 || !absl::SimpleAtoi(argv[1], &port)) {
    std::cerr << "usage: calling_example PORT SERVICE\n";
    return 2;
  }
  const std::string service = argv[2];
  ConnectionPool pool(2);
  HttpAnswer answer;

  // 1. Ask any instance for the instances to use. Cache the answer for ttlMs.
  if (!Fetch(&pool, "127.0.0.1", port, "GET", "/lookup/" + service, {}, "",
             absl::Seconds(1), &answer) ||
      answer.status != 200) {
    std::cerr << "lookup failed\n";
    return 1;
  }
  const auto lookup = nlohmann::json::parse(answer.body);
  const auto& entry = lookup["entries"][0];

  // 2. Create an idempotency key for the booking: the prefix from the lookup
  // and a nonce that is unique to this booking.
  const std::string key = entry["keyPrefix"].get<std::string>() + ".booking-" +
                          std::to_string(absl::ToUnixNanos(absl::Now()));

  // 3. Send the booking with a deadline. After the outcome "unknown", retry
  // with the same key, which ensures that the booking runs at most once.
  for (int i = 0; i < kMaxAttempts; ++i) {
    const bool is_answered =
        Fetch(&pool, entry["address"].get<std::string>(),
              entry["port"].get<int>(), "POST", "/s/" + service + "/book",
              {{"Idempotency-Key", key}, {"X-Request-Deadline-Ms", "2000"}},
              "room 4", absl::Seconds(3), &answer);
    const std::string outcome =
        is_answered ? RequestOutcome(answer) : "unknown";
    if (outcome == "run") {
      std::cout << "booked: " << answer.body << "\n";
      return 0;
    }
    if (outcome == "not-run") {
      std::cout << "not booked, try again later with a new key\n";
      return 1;
    }
    absl::SleepFor(absl::Milliseconds(200));
  }
  std::cout << "unknown: check with the backend server before booking again\n";
  return 1;
}
