#ifndef TEST_GATEWAY_FLEET_H_
#define TEST_GATEWAY_FLEET_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "child_process.h"
#include "edge/edge.h"
#include "platform_standin.h"

namespace baobabwall::test {

/// \brief Answer that a caller got; status 0: none.
struct CallerAnswer {
  int status = 0;
  std::string body;
  bool is_signed = false;
  absl::Duration retry_after;
};

/// \brief One blocking HTTP exchange on a new connection.
/// \param port on 127.0.0.1.
/// \param headers lines without line ends.
CallerAnswer Call(int port,
                  const std::string& method,
                  const std::string& target,
                  const std::vector<std::string>& headers = {},
                  const std::string& body = "");

/// \brief Real `baobabwalld --gateway` processes against PlatformStandin.
class GatewayFleet {
 public:
  /// \param name of the folder for settings and logs; made anew.
  explicit GatewayFleet(std::string name);

  /// \brief Instances that are started from now on find the store at this
  /// port of 127.0.0.1.
  void SetStorePort(int port) { store_port_ = port; }

  /// \brief Writes settings and starts a process.
  /// \param zone "a-1", "a-2" or "b-1".
  void Start(const std::string& instance, const std::string& zone);
  /// \brief Starts it again after it has ended.
  void Restart(const std::string& instance);
  ChildProcess& process(const std::string& instance) {
    return *members_.at(instance).process;
  }
  int caller_port(const std::string& instance) const {
    return members_.at(instance).callers;
  }
  int lookup_port(const std::string& instance) const {
    return members_.at(instance).lookups;
  }
  int metrics_port(const std::string& instance) const {
    return members_.at(instance).metrics;
  }
  /// \returns whether it is ready within 10 s.
  bool WaitReady(const std::string& instance) const;
  /// \returns text of the log so far.
  std::string Log(const std::string& instance) const;

  /// \returns the lines of all logs that docs/OPERATIONS.md does not explain.
  std::vector<std::string> LogFindings() const;

  /// \brief Writes a configuration with the routes /read/ and /book/ of host
  /// h.example, and /later/ from version 10 on.
  void PutConfig(int version);

  PlatformStandin& platform() { return platform_; }

 private:
  struct Member {
    std::string zone;
    int callers = 0;
    int readiness = 0;
    int lookups = 0;
    int peers = 0;
    int metrics = 0;
    std::unique_ptr<ChildProcess> process;
  };

  std::string folder_;
  PlatformStandin platform_;
  int store_port_;
  std::map<std::string, Member> members_;
};

/// \brief Waits until the condition holds.
/// \returns false if it does not within `limit`.
bool WaitFor(const std::function<bool()>& condition,
             absl::Duration limit = absl::Seconds(10));

}  // namespace baobabwall::test

#endif  // TEST_GATEWAY_FLEET_H_
