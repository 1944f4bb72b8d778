#ifndef EDGE_SRC_ACCOUNT_COUNTERS_H_
#define EDGE_SRC_ACCOUNT_COUNTERS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "absl/types/span.h"
#include "gateway/gateway.h"
#include "transport/transport.h"

namespace baobabwall::edge {

/// \brief Counts the ended requests of client accounts by reason.
///
/// The number of label values is bounded: only the largest accounts of the
/// configurations are counted one by one; the others share one label.
class AccountCounters {
 public:
  /// Maximum number of accounts that are counted one by one during the life of
  /// the process.
  static constexpr size_t kMaxListedAccounts = 20;
  /// Label of all other accounts.
  static constexpr char kOtherAccounts[] = "-";

  explicit AccountCounters(transport::Metrics* metrics) : metrics_(metrics) {}

  /// \brief Lists the largest accounts of a configuration until the maximum is
  /// reached. An account once listed stays listed, because a counter must not
  /// decrease.
  void SetAccounts(
      absl::Span<const std::shared_ptr<const gateway::ClientAccount>> accounts);

  /// \brief Counts an ended request. Ignores requests without an account.
  void Count(const gateway::RequestRecord& record);

 private:
  transport::Metrics* metrics_;
  std::set<std::string, std::less<>> listed_accounts_;
  /// By account and reason. The metrics read the values by their addresses.
  std::map<std::pair<std::string, std::string>, uint64_t> counts_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_ACCOUNT_COUNTERS_H_
