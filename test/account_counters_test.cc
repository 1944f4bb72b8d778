#include "edge/src/account_counters.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace baobabwall::edge {
namespace {

std::shared_ptr<const gateway::ClientAccount> MakeAccount(
    const std::string& name,
    double rate_per_s) {
  auto account = std::make_shared<gateway::ClientAccount>();
  account->name = name;
  account->quota = gateway::AccountQuota{rate_per_s, 1};
  return account;
}

gateway::RequestRecord MakeRecord(const std::string& account,
                                  const std::string& reason) {
  gateway::RequestRecord record;
  record.account = account;
  record.reason = reason;
  return record;
}

// Guards against metrics that grow with the number of accounts, and against a
// request that no counter contains.
TEST_CASE("the largest accounts are counted one by one, the others together") {
  transport::Metrics metrics;
  AccountCounters counters(&metrics);
  std::vector<std::shared_ptr<const gateway::ClientAccount>> accounts;
  for (int i = 0; i < 60; ++i) {
    accounts.push_back(MakeAccount(absl::StrCat("account-", i), i + 1));
  }
  counters.SetAccounts(accounts);
  for (int i = 0; i < 60; ++i) {
    counters.Count(MakeRecord(absl::StrCat("account-", i), "quota"));
  }
  counters.Count(MakeRecord("account-59", "quota"));
  counters.Count(MakeRecord("", "no-key"));
  const std::string text = metrics.Serialize();
  const auto has = [&](const std::string& account, int count) {
    return absl::StrContains(
        text, absl::StrCat("baobabwall_account_requests_total{account=\"",
                           account, "\",reason=\"quota\"} ", count, "\n"));
  };
  CHECK(has("account-59", 2));
  CHECK(has("account-40", 1));
  CHECK(has("-", 40));
  CHECK_FALSE(absl::StrContains(text, "\"account-39\""));
  CHECK_FALSE(absl::StrContains(text, "no-key"));
}

}  // namespace
}  // namespace baobabwall::edge
