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

/// \brief Answer that a caller received; the status is 0 if there was no
/// answer.
struct CallerAnswer {
  int status = 0;
  std::string body;
  bool is_signed = false;
  bool is_server_leaving = false;  ///< The backend server announced it.
  absl::Duration retry_after;
};

/// \brief Sends a request on a new connection and waits for the answer.
/// \param port port on 127.0.0.1.
/// \param headers header lines without line ends.
CallerAnswer Call(int port,
                  const std::string& method,
                  const std::string& target,
                  const std::vector<std::string>& headers = {},
                  const std::string& body = "");

/// \brief Limits of callers' requests in the configuration.
struct ConfigLimits {
  int64_t max_body_bytes = 1 << 20;
  int idle_timeout_ms = 15000;
  int route_timeout_ms = 1500;
};

/// \brief Runs real `baobabwalld --gateway` processes against a
/// PlatformStandin.
class GatewayFleet {
 public:
  /// \param name name of the directory for settings and logs; an existing
  /// directory is replaced.
  explicit GatewayFleet(std::string name);

  /// \brief Sets the port of the store on 127.0.0.1 for instances that are
  /// started after this call.
  void SetStorePort(int port) { store_port_ = port; }

  /// \brief Sets text that is appended to the settings files of instances that
  /// are started after this call.
  void SetExtraSettings(std::string text) { extra_settings_ = std::move(text); }

  /// \brief Sets the descriptor that becomes the standard output of instances
  /// that are started after this call; standard error goes to the log file.
  void SetStandardOutput(int descriptor) { standard_output_ = descriptor; }

  /// \brief Sets the soft RLIMIT_NOFILE of instances that are started after
  /// this call.
  void SetDescriptorLimit(int limit) { descriptor_limit_ = limit; }

  /// \returns whether `baobabwalld --gateway --check` accepts the settings that
  /// Start() writes, followed by `extra_settings`.
  bool AcceptsSettings(const std::string& extra_settings) const;

  /// \brief Writes the settings file of an instance and starts its process.
  /// \param zone "a-1", "a-2" or "b-1".
  void Start(const std::string& instance, const std::string& zone);
  /// \brief Restarts the process of an instance with the same settings.
  void Restart(const std::string& instance);
  ChildProcess& process(const std::string& instance) {
    return *instances_.at(instance).process;
  }
  int caller_port(const std::string& instance) const {
    return instances_.at(instance).callers;
  }
  int lookup_port(const std::string& instance) const {
    return instances_.at(instance).lookups;
  }
  int metrics_port(const std::string& instance) const {
    return instances_.at(instance).metrics;
  }
  /// \returns whether the instance becomes ready within 10 s.
  bool WaitReady(const std::string& instance) const;
  /// \returns the current text of the instance's log.
  std::string Log(const std::string& instance) const;

  /// \returns a finding for each log line that docs/OPERATIONS.md does not
  /// document.
  std::vector<std::string> LogFindings() const;

  /// \brief Writes a configuration with the routes /read/ and /book/ of host
  /// h.example. From version 10 on, the configuration also has the route
  /// /later/.
  void PutConfig(int version, const ConfigLimits& limits = {});

  /// \brief Sets the client accounts of configurations that are written after
  /// this call, as a JSON list. These configurations also have the public route
  /// /open/.
  void SetAccounts(std::string accounts) { accounts_ = std::move(accounts); }

  PlatformStandin& platform() { return platform_; }

 private:
  struct Instance {
    std::string zone;
    int callers = 0;
    int readiness = 0;
    int lookups = 0;
    int peers = 0;
    int metrics = 0;
    std::unique_ptr<ChildProcess> process;
  };

  void WriteSettings(const std::string& instance,
                     const Instance& entry,
                     const std::string& extra_settings) const;

  std::string folder_;
  PlatformStandin platform_;
  int store_port_;
  int standard_output_ = -1;
  int descriptor_limit_ = 0;
  std::string extra_settings_;
  std::string accounts_;
  std::map<std::string, Instance> instances_;
};

/// \brief Waits until the condition holds.
/// \returns false if the condition does not hold within `limit`.
bool WaitFor(const std::function<bool()>& condition,
             absl::Duration limit = absl::Seconds(10));

}  // namespace baobabwall::test

#endif  // TEST_GATEWAY_FLEET_H_
