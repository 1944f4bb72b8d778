#ifndef TEST_ACCOUNT_ORACLE_H_
#define TEST_ACCOUNT_ORACLE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/types/span.h"
#include "platform_standin.h"

namespace baobabwall::test {

/// \brief Callers of client accounts, and what must hold for their requests at
/// the backend servers, all of which are in region "a".
///
/// Thread-safe.
class AccountOracle {
 public:
  /// All keys contain this text, so that a search finds each of them.
  static constexpr char kKeyMark[] = "Zq7secret";

  /// \brief Credentials of a kind of caller.
  struct Caller {
    std::string account;  ///< Empty if the key is unknown or absent.
    std::string header;   ///< Header line; never empty.
    bool may_run = false;
  };

  /// \returns the accounts of the configuration as a JSON list.
  static std::string Accounts() {
    return absl::StrCat(
        R"([{"name":"plain","api_keys":[")", kKeyMark,
        R"(-plain"]},{"name":"in-a","allowed_regions":["a"],"api_keys":[")",
        kKeyMark,
        R"(-in-a"]},{"name":"in-b","allowed_regions":["b"],"api_keys":[")",
        kKeyMark, R"(-in-b"]}])");
  }

  static std::string HeaderOf(const std::string& account) {
    return absl::StrCat("Authorization: Bearer ", kKeyMark, "-", account);
  }

  /// \returns the caller of the given number; each kind of caller recurs.
  static Caller CallerOf(uint64_t number) {
    switch (number % 8) {
      case 0:
        return {"", HeaderOf("unknown"), false};
      case 1:
        return {"", "X-Tenant: plain", false};
      case 2:
        return {"in-b", HeaderOf("in-b"), false};
      case 3:
      case 4:
        return {"in-a", HeaderOf("in-a"), true};
      default:
        return {"plain", HeaderOf("plain"), true};
    }
  }

  /// \returns the finding about an answer; empty if the answer is allowed.
  std::string OnAnswer(const std::string& id,
                       const Caller& caller,
                       int status) {
    std::lock_guard<std::mutex> lock(mutex_);
    callers_[id] = caller;
    if (!caller.account.empty() && status == 401) {
      return absl::StrCat(id, " with a known key is not answered with 401");
    }
    const bool is_refused = status == 0 || status == 401 || status == 503;
    if (!caller.may_run && !is_refused) {
      return absl::StrCat(id, " must not run, but has status ", status);
    }
    return "";
  }

  /// \returns the findings about requests that reached a backend server.
  std::vector<std::string> CheckArrivals(
      absl::Span<const BackendArrival> arrivals) {
    std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::string> findings;
    for (const BackendArrival& arrival : arrivals) {
      const auto caller = callers_.find(arrival.id);
      if (caller == callers_.end()) {
        continue;
      }
      if (arrival.credential_count > 0) {
        findings.push_back(absl::StrCat(arrival.id, " reached a server with ",
                                        "the caller's credentials"));
      }
      if (!caller->second.may_run) {
        findings.push_back(absl::StrCat(arrival.id, " reached a server"));
      } else if (arrival.accounts !=
                 std::vector<std::string>{caller->second.account}) {
        findings.push_back(
            absl::StrCat(arrival.id, " reached a server without its account"));
      }
    }
    return findings;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, Caller> callers_;  ///< By request id.
};

}  // namespace baobabwall::test

#endif  // TEST_ACCOUNT_ORACLE_H_
