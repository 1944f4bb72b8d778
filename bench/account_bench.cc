// Measures what the check of a caller's API key costs per request: reading the
// credentials from the head, and finding the account that holds the key.
//
// Usage: account_bench [REQUESTS]

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/base.h"
#include "platform/platform.h"

namespace baobabwall {
namespace {

constexpr int kDefaultRequests = 2'000'000;
constexpr int kKeyLength = 40;
constexpr int kSampleCount = 1024;  ///< Different heads that are used in turn.

std::string MakeKey(base::Random* random) {
  std::string key;
  while (key.size() < kKeyLength) {
    key.push_back(
        static_cast<char>('a' + static_cast<int>(random->Unit() * 25)));
  }
  return key;
}

struct Sample {
  edge::http::fields head;
};

void Measure(int key_count, int requests, bool is_known) {
  base::Random random(7);
  gateway::RoutingConfig::Builder builder;
  std::vector<std::string> keys;
  for (int i = 0; i < key_count; ++i) {
    keys.push_back(MakeKey(&random));
    auto account = std::make_shared<gateway::ClientAccount>();
    account->name = absl::StrCat("account-", i);
    builder.AddAccount(std::move(account),
                       absl::MakeConstSpan(&keys.back(), 1));
  }
  const std::shared_ptr<const gateway::RoutingConfig> config = builder.Build();
  std::vector<Sample> samples(kSampleCount);
  for (int i = 0; i < kSampleCount; ++i) {
    const std::string key = is_known
                                ? keys[static_cast<size_t>(i * 37 % key_count)]
                                : MakeKey(&random);
    edge::http::fields& head = samples[static_cast<size_t>(i)].head;
    head.set("Host", "h.example");
    head.set("X-Request-Id", absl::StrCat("id-", i));
    head.set("X-Deadline-Ms", "1500");
    head.set("Cookie", "X-Affinity-Key=17");
    head.set("Authorization", absl::StrCat("Bearer ", key));
  }
  const gateway::Route route;
  int granted = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < requests; ++i) {
    const auto& sample = samples[static_cast<size_t>(i % kSampleCount)];
    const gateway::Authorization authorization = gateway::Authorize(
        *config, route, platform::ReadCredentials(sample.head),
        gateway::ConfigFreshness::kCurrent);
    granted += authorization.is_granted() ? 1 : 0;
  }
  const std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - start;
  std::printf("keys %6d  %-7s  %6.1f ns per request  (granted %d of %d)\n",
              key_count, is_known ? "known" : "unknown",
              took.count() / requests, granted, requests);
}

}  // namespace
}  // namespace baobabwall

int main(int argc, char** argv) {
  const int requests =
      argc > 1 ? std::atoi(argv[1]) : baobabwall::kDefaultRequests;
  for (const int key_count : {88, 10'000}) {
    for (const bool is_known : {true, false}) {
      baobabwall::Measure(key_count, requests, is_known);
    }
  }
  return 0;
}
