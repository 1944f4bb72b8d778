#include "edge/src/account_counters.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace baobabwall::edge {
namespace internal {

/// \returns the rate by which accounts are ordered. An account without a quota
/// may send any number of requests.
double RateOf(const gateway::ClientAccount& account) {
  return account.quota ? account.quota->rate_per_s
                       : std::numeric_limits<double>::infinity();
}

}  // namespace internal

void AccountCounters::SetAccounts(
    absl::Span<const std::shared_ptr<const gateway::ClientAccount>> accounts) {
  std::vector<const gateway::ClientAccount*> by_size;
  by_size.reserve(accounts.size());
  for (const auto& account : accounts) {
    by_size.push_back(account.get());
  }
  std::stable_sort(by_size.begin(), by_size.end(),
                   [](const gateway::ClientAccount* left,
                      const gateway::ClientAccount* right) {
                     return internal::RateOf(*left) > internal::RateOf(*right);
                   });
  for (const gateway::ClientAccount* account : by_size) {
    if (listed_accounts_.size() >= kMaxListedAccounts) {
      return;
    }
    listed_accounts_.insert(account->name);
  }
}

void AccountCounters::Count(const gateway::RequestRecord& record) {
  if (record.account.empty()) {
    return;
  }
  const bool is_listed = listed_accounts_.count(record.account) > 0;
  const std::string label = is_listed ? record.account : kOtherAccounts;
  const auto [entry, is_new] = counts_.try_emplace({label, record.reason}, 0);
  ++entry->second;
  if (!is_new) {
    return;
  }
  metrics_->AddReader(
      "baobabwall_account_requests_total",
      "Requests of client accounts, by reason as in the log",
      {{"account", label}, {"reason", record.reason}}, true,
      [count = &entry->second] { return static_cast<double>(*count); });
}

}  // namespace baobabwall::edge
